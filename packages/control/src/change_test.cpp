#include "change.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("a change that contains the same entry twice is rejected")
{
    ConfigurationChange twice;
    twice.upserted.regions = {{RegionName {"a"}}, {RegionName {"a"}}};
    CHECK_FALSE(decodeChange(encodeChange(twice)));

    ConfigurationChange both;
    both.upserted.regions = {{RegionName {"a"}}};
    both.removed.regions = {{RegionName {"a"}}};
    CHECK_FALSE(decodeChange(encodeChange(both)));

    both.removed.regions = {{RegionName {"b"}}};
    CHECK(decodeChange(encodeChange(both)).value() == both);
}

TEST_CASE("a deeply nested encoded change is rejected without overflowing the stack")
{
    CHECK_FALSE(decodeChange(std::string(1000000, '\x91')));
}
