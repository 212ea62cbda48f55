#include "monsoonward/values/pacedrecords.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("a caller that repeats a fault fills no log: one record a minute for each reason, with the count")
{
    PacedRecords records;
    const TimePoint start;
    CHECK(records.add("a", start) == 1);
    CHECK_FALSE(records.add("a", start + std::chrono::seconds(1)));
    CHECK(records.add("b", start + std::chrono::seconds(1)) == 1);
    CHECK_FALSE(records.add("a", start + std::chrono::seconds(59)));
    CHECK(records.add("a", start + PacedRecords::interval) == 3);
}
