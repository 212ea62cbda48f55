#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

constexpr EngineRun run = 7;
constexpr EngineMemory wideMemory {100000, 0, 1};

struct Fixture
{
    HeldPrompts held {5s, 100};
    TimePoint now {100s};

    static PromptBeginnings prompt(std::string_view parts, std::string_view customer = "c")
    {
        return promptBeginnings(parts, customer, "m");
    }
    double expected(std::string_view parts, const EngineMemory &memory = wideMemory) const
    {
        return held.expectedTokens(run, prompt(parts), memory, now);
    }
};

} // namespace

TEST_CASE("the parts of a prompt are read with the tokens up to their end")
{
    const auto prompt = promptBeginnings("5c1e07a2:800,91bd3f06:410", "c", "m");
    REQUIRE(prompt.size() == 2);
    CHECK(prompt[0].tokens == 800);
    CHECK(prompt[1].tokens == 1210);
    for (const auto *it : {"", "a", "a:", ":5", "a:5x", "a:-1", "a:5,,b:1", "a:4294967295,b:1"}) {
        CHECK_MESSAGE(promptBeginnings(it, "c", "m").empty(), it);
    }
}

TEST_CASE("a part counts only together with all parts before it, the customer and the model")
{
    const auto prompt = promptBeginnings("a:1,b:1", "c", "m");
    CHECK(prompt[1].id != promptBeginnings("x:1,b:1", "c", "m")[1].id);
    CHECK(prompt[0].id != promptBeginnings("a:1,b:1", "d", "m")[0].id);
    CHECK(prompt[0].id != promptBeginnings("a:1,b:1", "c", "n")[0].id);
    CHECK(prompt[0].id == promptBeginnings("a:1,x:1", "c", "m")[0].id);
}

TEST_CASE_FIXTURE(Fixture, "a session that goes on finds what its last request has read")
{
    held.requestSent(run, prompt("s:1000,a:200"), now);
    CHECK(expected("s:1000,a:200,b:50") == doctest::Approx(1200));
    CHECK(expected("s:1000,b:50") == doctest::Approx(1000));
    CHECK(expected("a:200") == 0);
    CHECK(held.expectedTokens(run + 1, prompt("s:1000"), wideMemory, now) == 0);
}

TEST_CASE_FIXTURE(Fixture, "the estimate falls with the age of the last use, to nothing after the reuse window")
{
    held.requestSent(run, prompt("s:1000"), now);
    now += 2500ms;
    CHECK(expected("s:1000") == doctest::Approx(500));
    now += 2500ms;
    CHECK(expected("s:1000") == 0);
}

TEST_CASE_FIXTURE(Fixture, "long prompts that the engine reads afterwards evict a beginning")
{
    held.requestSent(run, prompt("s:1000"), now);
    const EngineMemory memory {11000, 1000, 1};
    CHECK(expected("s:1000", memory) == doctest::Approx(1000));
    held.requestSent(run, prompt("t:5000"), now);
    CHECK(expected("s:1000", memory) == doctest::Approx(500));
    held.requestSent(run, prompt("u:5000"), now);
    CHECK(expected("s:1000", memory) == 0);
}

TEST_CASE_FIXTURE(Fixture, "what the other daemons send to the engine evicts a beginning, too")
{
    held.requestSent(run, prompt("s:1000"), now);
    held.requestSent(run, prompt("t:1000"), now);
    CHECK(expected("s:1000", {10000, 0, 1}) == doctest::Approx(900));
    CHECK(expected("s:1000", {10000, 0, 0.2}) == doctest::Approx(500));
}

TEST_CASE_FIXTURE(Fixture, "an engine whose memory is full of running requests keeps nothing")
{
    held.requestSent(run, prompt("s:1000"), now);
    CHECK(expected("s:1000", {10000, 10000, 1}) == 0);
}

TEST_CASE_FIXTURE(Fixture, "an engine that started again holds nothing")
{
    held.requestSent(run, prompt("s:1000"), now);
    held.requestSent(run + 1, prompt("s:1000"), now);
    held.forget(run);
    CHECK(expected("s:1000") == 0);
    CHECK(held.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a hot part stays known among a long tail of others")
{
    for (unsigned n = 0; n < 1000000; ++n) {
        held.requestSent(run, prompt("hot:10,part" + std::to_string(n) + ":1"), now);
    }
    CHECK(held.size() == 100);
    CHECK(expected("hot:10", {1e9, 0, 1}) == doctest::Approx(10));
}

TEST_CASE("nothing is recorded without a reuse window")
{
    HeldPrompts held {Duration::zero()};
    held.requestSent(run, promptBeginnings("s:1000", "c", "m"), TimePoint(1s));
    CHECK(held.size() == 0);
}

TEST_CASE("the expected tokens are never negative and never more than the prompt has")
{
    CHECK(rc::check([] {
        HeldPrompts held {5s, 50};
        TimePoint now {100s};
        const auto parts = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 5000U)));
        std::string text;
        for (const auto &[id, tokens] : parts) {
            text += (text.empty() ? "" : ",") + std::to_string(id) + ":" + std::to_string(tokens);
            held.requestSent(run, promptBeginnings(text, "c", "m"), now);
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            const EngineMemory memory {*rc::gen::inRange(0, 20000) * 1.0, *rc::gen::inRange(0, 20000) * 1.0, 0.5};
            const auto prompt = promptBeginnings(text, "c", "m");
            const auto expected = held.expectedTokens(run, prompt, memory, now);
            RC_ASSERT(expected >= 0);
            RC_ASSERT(prompt.empty() || expected <= prompt.back().tokens);
            RC_ASSERT(held.size() <= 50);
        }
    }));
}
