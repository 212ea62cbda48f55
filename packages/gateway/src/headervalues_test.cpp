#include "headervalues.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

std::optional<Duration> readRetryAfter(const char *text)
{
    boost::beast::http::fields fields;
    fields.set(boost::beast::http::field::retry_after, text);
    return retryAfterOf(fields, 1min);
}

} // namespace

TEST_CASE("a Retry-After header may hold fractions, is bounded, and is ignored if it is no number")
{
    CHECK(readRetryAfter("0.25") == Duration(250ms));
    CHECK(readRetryAfter("7") == Duration(7s));
    CHECK(readRetryAfter("1e300") == Duration(1min));
    for (const char *it : {"", "-1", "nan", "soon", "1 s"}) {
        CAPTURE(it);
        CHECK_FALSE(readRetryAfter(it));
    }
    CHECK_FALSE(retryAfterOf({}, 1min));
    CHECK(retryAfterText(1204ms) == "1.21");
    CHECK(retryAfterText(50ms) == "0.05");
}

TEST_CASE("a list of token counts is added up, anything else is no list")
{
    CHECK(sumOfList("1460,80") == 1540.0);
    CHECK(sumOfList("0.5") == 0.5);
    for (const char *it : {"a", "1;2", "-1", "1,-2"}) {
        CAPTURE(it);
        CHECK_FALSE(sumOfList(it));
    }
}
