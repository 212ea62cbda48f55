#include "customerlimits.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

ConfigurationPtr limited(const CustomerLimits &limits)
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
    CustomerLimiter here(clock);
    CustomerLimiter there(clock);
    const auto configuration = limited({2, 0, 0, 0});
    here.configure(configuration);
    there.configure(configuration);
    here.onAdmitted(request(1));
    CHECK_FALSE(here.exceededLimit(request(1)));
    there.onAdmitted(request(1));
    here.onUsageReport(otherEntry, there.takeUsageReport());
    CHECK(here.exceededLimit(request(1)));
    there.onEnded(request(1));
    here.onUsageReport(otherEntry, there.takeUsageReport());
    CHECK_FALSE(here.exceededLimit(request(1)));
    there.onAdmitted(request(1));
    here.onUsageReport(otherEntry, there.takeUsageReport());
    here.onEntryDown(otherEntry);
    CHECK_FALSE(here.exceededLimit(request(1)));
}

TEST_CASE("tokens are limited both in progress and per second, and the rate decays over time")
{
    VirtualClock clock;
    CustomerLimiter limits(clock);
    limits.configure(limited({0, 100, 50, 0}));
    limits.onAdmitted(request(80));
    CHECK(limits.exceededLimit(request(30)));
    CHECK_FALSE(limits.exceededLimit(request(20)));
    limits.onEnded(request(80));
    CHECK_FALSE(limits.exceededLimit(request(500)));
    limits.configure(limited({0, 0, 0, 10}));
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
