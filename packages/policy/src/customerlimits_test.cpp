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

TEST_CASE("requests in progress at other entries count, until their entry is gone")
{
    VirtualClock clock;
    CustomerLimiter here(clock);
    CustomerLimiter there(clock);
    const auto configuration = limited({2, 0, 0, 0});
    here.configure(configuration);
    there.configure(configuration);
    here.admitted(request(1));
    CHECK_FALSE(here.exceeded(request(1)));
    there.admitted(request(1));
    here.report(otherEntry, there.takeReport());
    CHECK(here.exceeded(request(1)));
    there.onEnded(request(1));
    here.report(otherEntry, there.takeReport());
    CHECK_FALSE(here.exceeded(request(1)));
    there.admitted(request(1));
    here.report(otherEntry, there.takeReport());
    here.onEntryDown(otherEntry);
    CHECK_FALSE(here.exceeded(request(1)));
}

TEST_CASE("tokens are limited in progress and by rate; the rate recovers with time")
{
    VirtualClock clock;
    CustomerLimiter limits(clock);
    limits.configure(limited({0, 100, 50, 0}));
    limits.admitted(request(80));
    CHECK(limits.exceeded(request(30)));
    CHECK_FALSE(limits.exceeded(request(20)));
    limits.onEnded(request(80));
    CHECK_FALSE(limits.exceeded(request(500)));
    limits.configure(limited({0, 0, 0, 10}));
    CHECK(limits.exceeded(request(1)));
    clock.advance(std::chrono::seconds(10));
    CHECK_FALSE(limits.exceeded(request(1)));
}

TEST_CASE("ending what was never admitted breaks an invariant")
{
    VirtualClock clock;
    CustomerLimiter limits(clock);
    CHECK_THROWS_AS(limits.onEnded(request(1)), InvariantViolation);
}
