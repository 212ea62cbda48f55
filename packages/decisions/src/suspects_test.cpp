#include "suspects.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Records the notices that would be sent to other entries.
class RecordingOutput : public SuspectsOutput
{
public:
    void broadcast(const SuspectNotice &notice) override
    {
        notices.push_back(notice);
    }
    void sendTo(const Peer & /*to*/, const SuspectNotice &notice) override
    {
        notices.push_back(notice);
    }
    std::vector<SuspectNotice> notices;
};

/// Suspects of one entry. All requests have the same service and the fingerprint 7.
struct Fixture
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
    RecordingOutput output;
    NullEventLog events;
    Suspects suspects {{1, 1}, clock, output, events};
};

} // namespace

TEST_CASE("a fingerprint is suspected after one crash and refused after two, until the suspicion expires")
{
    Fixture fixture;
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Clear);
    fixture.suspects.onCrashObserved(fixture.spec(1));
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Suspect);
    fixture.suspects.onCrashObserved(fixture.spec(2));
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Refused);
    CHECK(fixture.output.notices.back() == fixture.notice({1, 1}, 2));
    fixture.clock.advance(10min);
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Clear);
    fixture.suspects.tick();
    CHECK(fixture.suspects.size() == 0);
}

TEST_CASE("repeated or relayed notices do not raise an observer's crash count")
{
    Fixture fixture;
    fixture.suspects.onNotice(fixture.notice({2, 2}, 1));
    fixture.suspects.onNotice(fixture.notice({2, 2}, 1));
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Suspect);
    fixture.suspects.onNotice(fixture.notice({3, 3}, 1));
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Refused);
    fixture.suspects.onEntryUp({HostName {"new"}, {4, 4}});
    CHECK(fixture.output.notices.size() == 2);
}

TEST_CASE("an entry ignores relayed notices of its own observations")
{
    Fixture fixture;
    fixture.suspects.onCrashObserved(fixture.spec(1));
    fixture.suspects.onNotice(fixture.notice({1, 1}, 5));
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Suspect);
}

TEST_CASE("a request without a fingerprint is never suspected")
{
    Fixture fixture;
    auto spec = fixture.spec(1);
    spec.fingerprint = 0;
    fixture.suspects.onCrashObserved(spec);
    CHECK(fixture.suspects.suspicionLevel(0) == SuspicionLevel::Clear);
}

TEST_CASE("suspects of a service run one at a time, after the isolation delay")
{
    Fixture fixture;
    fixture.suspects.enqueue(fixture.spec(1));
    fixture.suspects.enqueue(fixture.spec(2));
    CHECK(fixture.suspects.tick().empty());
    fixture.clock.advance(300ms);
    CHECK(fixture.suspects.tick() == std::vector {fixture.spec(1).id});
    CHECK(fixture.suspects.tick().empty());
    fixture.suspects.remove(fixture.spec(1).id);
    CHECK(fixture.suspects.tick() == std::vector {fixture.spec(2).id});
}

TEST_CASE("a completed run clears a suspect here and at the other entries, but not a refused fingerprint")
{
    Fixture fixture;
    fixture.suspects.onNotice(fixture.notice({2, 2}, 1));
    fixture.suspects.clear(7);
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Clear);
    CHECK(fixture.output.notices.back().crashes == 0);
    fixture.suspects.onNotice(fixture.notice({2, 2}, 2));
    fixture.suspects.clear(7);
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Refused);
    fixture.suspects.onNotice(fixture.notice({2, 2}, 0));
    CHECK(fixture.suspects.suspicionLevel(7) == SuspicionLevel::Clear);
}
