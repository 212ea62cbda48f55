#include "placement.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoonward;

namespace
{

const ServiceName service("s");

struct Fixture
{
    VirtualClock clock;
    SeededRandom random {1};
    Placement placement {RegionName("south"), clock, random};

    Fixture()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->dataCentres = {{DataCentreName("n"), RegionName("north")},
                                      {DataCentreName("s"), RegionName("south")}};
        for (const std::string name : {"a", "b", "c"}) {
            const DataCentreName dataCentre(name == "c" ? "n" : "s");
            configuration->hosts.push_back(
                {HostName(name), dataCentre, HostRole::Target, {}, {}, ServingState::InService});
            configuration->targets.push_back(
                {TargetName(name), HostName(name), service, ServingState::InService, false});
        }
        placement.configure(configuration);
        for (const auto &it : configuration->targets) {
            status(it.name, {});
        }
    }

    void status(const TargetName &target, const std::vector<PrefixHash> &cached)
    {
        TargetStatus status;
        status.target = target;
        status.service = service;
        status.prefillTokensPerSecond = 1000;
        status.decodeTokensPerSecond = 50;
        status.cachedPrefixes = cached;
        placement.onTargetStatus(status);
    }

    RequestSpec request(const std::vector<PrefixHash> &prefixes) const
    {
        RequestSpec spec;
        spec.service = service;
        spec.deadline = clock.now() + std::chrono::seconds(10);
        spec.promptTokens = 1024;
        spec.prefixes = prefixes;
        return spec;
    }
};

} // namespace

TEST_CASE("a request is reserved first at the target that has its prefix cached, later at others")
{
    Fixture it;
    const auto spec = it.request({1, 2, 3});
    it.placement.recordPrefixes(spec);
    it.placement.recordPrefixes(spec);
    it.status(TargetName("b"), {1, 2, 3});
    const auto admitted = it.clock.now();
    CHECK(it.placement.targetsToReserve({spec, admitted, 10}, {}) == std::vector<TargetName> {TargetName("b")});
    CHECK(it.placement.targetsToReserve({spec, admitted, 10}, {TargetName("b")}).empty());
    it.clock.advance(std::chrono::seconds(3));
    CHECK_FALSE(it.placement.targetsToReserve({spec, admitted, 10}, {TargetName("b")}).empty());
}

TEST_CASE("a request is reserved in another region only after it has waited")
{
    Fixture it;
    const auto spec = it.request({});
    const auto admitted = it.clock.now();
    const auto first = it.placement.targetsToReserve({spec, admitted, 10}, {});
    CHECK(first.size() == 2);
    CHECK(std::find(first.begin(), first.end(), TargetName("c")) == first.end());
    it.clock.advance(std::chrono::seconds(1));
    CHECK(it.placement.targetsToReserve({spec, admitted, 10}, first) == std::vector<TargetName> {TargetName("c")});
}

TEST_CASE("without a target in its own region, a request is reserved in another region at once")
{
    Fixture it;
    it.placement.onTargetGone(TargetName("a"));
    it.placement.onTargetGone(TargetName("b"));
    const auto spec = it.request({});
    const auto chosen = it.placement.targetsToReserve({spec, it.clock.now(), 10}, {});
    CHECK(chosen == std::vector<TargetName> {TargetName("c")});
}

TEST_CASE("the minimum service time assumes the fastest target with shared prefixes cached")
{
    Fixture it;
    const auto spec = it.request({1, 2});
    CHECK(it.placement.minServiceSeconds(spec, 50) == doctest::Approx(2.024));
    it.placement.recordPrefixes(spec);
    it.placement.recordPrefixes(spec);
    CHECK(it.placement.minServiceSeconds(spec, 50) == doctest::Approx(1.512));
}
