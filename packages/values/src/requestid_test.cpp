#include "monsoonward/values/values.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("parsing the text of a request ID gives the same ID")
{
    SeededRandom random(7);
    const RequestId id {makeIncarnation(random), 42};
    CHECK(parseRequestId(textOf(id)) == id);
}

TEST_CASE("malformed request IDs are rejected")
{
    CHECK_FALSE(parseRequestId(""));
    CHECK_FALSE(parseRequestId("00000000000000000000000000000001"));
    CHECK_FALSE(parseRequestId("00000000000000000000000000000001-"));
    CHECK_FALSE(parseRequestId("0000000000000000000000000000000x-1"));
    CHECK_FALSE(parseRequestId("00000000000000000000000000000001-1x"));
}
