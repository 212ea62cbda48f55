#include "customerlimits.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

ConfigurationPtr configurationWithLimits(const CustomerLimits &limits)
{
    auto configuration = std::make_shared<Configuration>();
    CustomerSpec customer;
    customer.name = CustomerName("a");
    customer.limits = limits;
    configuration->customers.push_back(customer);
    return configuration;
}

RequestSpec request(std::uint32_t tokens)
{
    RequestSpec spec;
    spec.customer = CustomerName("a");
    spec.promptTokens = tokens;
    return spec;
}

const Peer otherEntry {HostName("b"), {1, 1}};

} // namespace

TEST_CASE("requests in progress at other entries count towards the limit until the entry goes down")
{
    VirtualClock clock;
    CustomerLimiter localLimiter(clock);
    CustomerLimiter peerLimiter(clock);
    const auto configuration = configurationWithLimits({2, 0, 0, 0});
    localLimiter.configure(configuration);
    peerLimiter.configure(configuration);
    localLimiter.onAdmitted(request(1));
    CHECK_FALSE(localLimiter.exceededLimit(request(1)));
    peerLimiter.onAdmitted(request(1));
    localLimiter.onUsageReport(otherEntry, peerLimiter.takeUsageReport());
    CHECK(localLimiter.exceededLimit(request(1)));
    peerLimiter.onEnded(request(1));
    localLimiter.onUsageReport(otherEntry, peerLimiter.takeUsageReport());
    CHECK_FALSE(localLimiter.exceededLimit(request(1)));
    peerLimiter.onAdmitted(request(1));
    localLimiter.onUsageReport(otherEntry, peerLimiter.takeUsageReport());
    localLimiter.onEntryDown(otherEntry);
    CHECK_FALSE(localLimiter.exceededLimit(request(1)));
}

TEST_CASE("tokens are limited both in progress and per second, and the rate decays over time")
{
    VirtualClock clock;
    CustomerLimiter limits(clock);
    limits.configure(configurationWithLimits({0, 100, 50, 0}));
    limits.onAdmitted(request(80));
    CHECK(limits.exceededLimit(request(30)));
    CHECK_FALSE(limits.exceededLimit(request(20)));
    limits.onEnded(request(80));
    CHECK_FALSE(limits.exceededLimit(request(500)));
    limits.configure(configurationWithLimits({0, 0, 0, 10}));
    CHECK(limits.exceededLimit(request(1)));
    clock.advance(std::chrono::seconds(10));
    CHECK_FALSE(limits.exceededLimit(request(1)));
}

TEST_CASE("ending a request that was never admitted violates an invariant")
{
    VirtualClock clock;
    CustomerLimiter limits(clock);
    CHECK_THROWS_AS(limits.onEnded(request(1)), InvariantViolation);
}
