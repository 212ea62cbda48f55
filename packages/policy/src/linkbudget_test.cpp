#include "linkbudget.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("the bytes sent are limited by the burst and the rate")
{
    VirtualClock clock;
    LinkBudget budget(clock, 100, 1000);
    CHECK(budget.allows(1000));
    budget.spend(1000);
    CHECK_FALSE(budget.allows(100));
    clock.advance(std::chrono::seconds(1));
    CHECK(budget.allows(100));
    CHECK_FALSE(budget.allows(101));
}

TEST_CASE("a body larger than the burst is allowed only while the bucket is full")
{
    VirtualClock clock;
    LinkBudget budget(clock, 100, 1000);
    CHECK(budget.allows(5000));
    budget.spend(5000);
    clock.advance(std::chrono::seconds(30));
    CHECK_FALSE(budget.allows(5000));
}
