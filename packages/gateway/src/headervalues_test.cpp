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

TEST_CASE("a rate limit is a decimal number within bounds that is stated once")
{
    const auto read = [](const char *text) {
        boost::beast::http::fields fields;
        fields.set("Limit", text);
        return rateLimitOf(fields, "Limit");
    };
    CHECK(read("5.9").value() == 5.9);
    CHECK(read("0").value() == 0.0);
    CHECK(read("12").value() == 12.0);
    for (const char *it : {"", "-1", "-0", "nan", "inf", "1e3", "0x10", "5,9", "5.9 6", "six", "1000001", "+1"}) {
        CAPTURE(it);
        CHECK_FALSE(read(it));
    }
    CHECK_FALSE(read(std::string(400, '9').c_str()));
    CHECK_FALSE(rateLimitOf({}, "Limit").value());
    boost::beast::http::fields twice;
    twice.insert("Limit", "5");
    twice.insert("limit", "6");
    CHECK_FALSE(rateLimitOf(twice, "Limit"));
}

TEST_CASE("a list of token counts is added up, anything else is no list")
{
    CHECK(sumOfList("1460,80") == 1540.0);
    CHECK(sumOfList("0.5") == 0.5);
    for (const char *it : {"a", "1;2", "-1", "1,-2", "nan", "nan,1", "1,inf", "-nan", "1e308,1e308"}) {
        CAPTURE(it);
        CHECK_FALSE(sumOfList(it));
    }
}
