#include "monsoonward/values/memoryaccount.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace monsoonward;
using Answer = MemoryShare::Answer;

namespace
{

constexpr std::size_t mebibyte = std::size_t {1024} * 1024;
constexpr std::size_t bound = 36 * mebibyte; // a third of 110 MB, about
constexpr std::size_t longBody = 4 * mebibyte;

struct Bodies
{
    explicit Bodies(std::size_t n)
    {
        for (std::size_t it = 0; it < n; ++it) {
            shares.push_back(std::make_unique<MemoryShare>(&account));
        }
    }
    std::size_t count(Answer answer)
    {
        std::size_t n = 0;
        for (const auto &it : shares) {
            n += it->ask(longBody) == answer ? 1 : 0;
        }
        return n;
    }
    MemoryAccount account {bound};
    std::vector<std::unique_ptr<MemoryShare>> shares;
};

} // namespace

TEST_CASE("thirty long bodies at once: some are read, the others wait, and the bound holds")
{
    Bodies bodies(30);
    CHECK(bodies.count(Answer::Granted) == 6); // three quarters of the bound
    CHECK(bodies.account.waiting() == 24);
    CHECK(bodies.account.held() == 6 * longBody);
}

TEST_CASE("a thousand long bodies: the line is bounded, the rest is refused at once")
{
    Bodies bodies(1000);
    CHECK(bodies.count(Answer::Refused) == 1000 - 6 - 144);
    CHECK(bodies.account.waiting() == 144);
}

TEST_CASE("a short body finds room beside long ones that wait")
{
    Bodies bodies(30);
    bodies.count(Answer::Granted);
    std::vector<std::unique_ptr<MemoryShare>> shorts;
    for (int n = 0; n < 180; ++n) {
        shorts.push_back(std::make_unique<MemoryShare>(&bodies.account));
        CHECK(shorts.back()->ask(MemoryAccount::shortBytes) == Answer::Granted);
    }
    CHECK(bodies.account.held() <= bound);
}

TEST_CASE("those who wait get room in the order in which they came")
{
    Bodies bodies(8);
    bodies.count(Answer::Granted);
    bodies.shares[0]->release();
    CHECK(bodies.shares[7]->ask(longBody) == Answer::Wait);
    CHECK(bodies.shares[6]->ask(longBody) == Answer::Granted);
    bodies.shares[1].reset();
    CHECK(bodies.shares[7]->ask(longBody) == Answer::Granted);
    CHECK(bodies.account.waiting() == 0);
}

TEST_CASE("when short bodies have no room, the largest body that is still read gives way")
{
    MemoryAccount account(mebibyte);
    MemoryShare large(&account);
    MemoryShare larger(&account);
    MemoryShare running(&account);
    int displaced = 0;
    CHECK(large.ask(mebibyte / 8) == Answer::Granted);
    large.setDisplaceable([&] { displaced += 1; });
    CHECK(larger.ask(mebibyte / 4) == Answer::Granted);
    larger.setDisplaceable([&] { displaced += 10; });
    running.hold(mebibyte / 2 + mebibyte / 8); // was granted before the bound became lower
    MemoryShare shortOne(&account);
    CHECK(shortOne.ask(MemoryAccount::shortBytes) == Answer::Granted);
    CHECK(displaced == 10);
    CHECK(larger.bytes() == 0);
    CHECK(large.bytes() == mebibyte / 8);
}

TEST_CASE("a short body is refused only if no long one can give way")
{
    MemoryAccount account(mebibyte);
    MemoryShare running(&account);
    running.hold(mebibyte);
    MemoryShare shortOne(&account);
    CHECK(shortOne.ask(1) == Answer::Refused);
    CHECK_FALSE(shortOne.hasRoomFor(1));
    running.release();
    CHECK(shortOne.ask(1) == Answer::Granted);
}

TEST_CASE("a body beyond the bound is read alone, so that a small process serves the largest one too")
{
    MemoryAccount account(5 * mebibyte);
    MemoryShare first(&account);
    MemoryShare second(&account);
    CHECK(first.ask(longBody) == Answer::Granted);
    CHECK(second.ask(longBody) == Answer::Wait);
    first.release();
    CHECK(second.ask(longBody) == Answer::Granted);
}

TEST_CASE("without an account all is granted")
{
    MemoryShare share(nullptr);
    CHECK(share.ask(100 * mebibyte) == Answer::Granted);
    CHECK(share.hasRoomFor(100 * mebibyte));
}
