#include "suspects.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

class Told : public SuspectsOutput
{
public:
    void tellEntries(const SuspectNotice &notice) override
    {
        notices.push_back(notice);
    }
    void tellEntry(const Peer & /*to*/, const SuspectNotice &notice) override
    {
        notices.push_back(notice);
    }
    std::vector<SuspectNotice> notices;
};

struct Bench
{
    RequestSpec spec(std::uint64_t sequence)
    {
        RequestSpec spec;
        spec.id = {{1, 1}, sequence};
        spec.service = ServiceName {"service"};
        spec.fingerprint = 7;
        return spec;
    }
    SuspectNotice notice(const Incarnation &observer, std::uint32_t crashes)
    {
        return {7, ServiceName {"service"}, crashes, 600s, observer};
    }

    VirtualClock clock;
    Told told;
    NullEventLog events;
    Suspects suspects {{1, 1}, clock, told, events};
};

} // namespace

TEST_CASE("one crash makes a suspect, two a refusal, time ends it")
{
    Bench bench;
    CHECK(bench.suspects.standing(7) == Standing::Clear);
    bench.suspects.crashSeen(bench.spec(1));
    CHECK(bench.suspects.standing(7) == Standing::Suspect);
    bench.suspects.crashSeen(bench.spec(2));
    CHECK(bench.suspects.standing(7) == Standing::Refused);
    CHECK(bench.told.notices.back() == bench.notice({1, 1}, 2));
    bench.clock.advance(10min);
    CHECK(bench.suspects.standing(7) == Standing::Clear);
    bench.suspects.tick();
    CHECK(bench.suspects.size() == 0);
}

TEST_CASE("a notice that is repeated, late or relayed adds nothing; each observer counts")
{
    Bench bench;
    bench.suspects.notice(bench.notice({2, 2}, 1));
    bench.suspects.notice(bench.notice({2, 2}, 1));
    CHECK(bench.suspects.standing(7) == Standing::Suspect);
    bench.suspects.notice(bench.notice({3, 3}, 1));
    CHECK(bench.suspects.standing(7) == Standing::Refused);
    bench.suspects.entryUp({HostName {"new"}, {4, 4}});
    CHECK(bench.told.notices.size() == 2);
}

TEST_CASE("an own count that another entry relays is not counted again")
{
    Bench bench;
    bench.suspects.crashSeen(bench.spec(1));
    bench.suspects.notice(bench.notice({1, 1}, 5));
    CHECK(bench.suspects.standing(7) == Standing::Suspect);
}

TEST_CASE("a request without a fingerprint is never suspected")
{
    Bench bench;
    auto spec = bench.spec(1);
    spec.fingerprint = 0;
    bench.suspects.crashSeen(spec);
    CHECK(bench.suspects.standing(0) == Standing::Clear);
}

TEST_CASE("suspects of a service run one at a time, after the delay")
{
    Bench bench;
    bench.suspects.enqueue(bench.spec(1));
    bench.suspects.enqueue(bench.spec(2));
    CHECK(bench.suspects.tick().empty());
    bench.clock.advance(300ms);
    CHECK(bench.suspects.tick() == std::vector {bench.spec(1).id});
    CHECK(bench.suspects.tick().empty());
    bench.suspects.leave(bench.spec(1).id);
    CHECK(bench.suspects.tick() == std::vector {bench.spec(2).id});
}

TEST_CASE("a whole run clears a suspect, also at the other entries, but not one that is refused")
{
    Bench bench;
    bench.suspects.notice(bench.notice({2, 2}, 1));
    bench.suspects.cleared(7);
    CHECK(bench.suspects.standing(7) == Standing::Clear);
    CHECK(bench.told.notices.back().crashes == 0);
    bench.suspects.notice(bench.notice({2, 2}, 2));
    bench.suspects.cleared(7);
    CHECK(bench.suspects.standing(7) == Standing::Refused);
    bench.suspects.notice(bench.notice({2, 2}, 0));
    CHECK(bench.suspects.standing(7) == Standing::Clear);
}
