#include "monsoonward/transport/transport.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("decoding an encoded message gives the same message")
{
    const RequestId id {{1, ~0ULL}, 3};
    Reserve reserve;
    reserve.id = id;
    reserve.timeLeft = std::chrono::seconds(-1);
    reserve.prefixes = {1, ~0ULL};
    CHECK(std::get<Reserve>(decode(encode(reserve)).value()) == reserve);

    const HandOver handOver {id, {{4, 5}, 6}, "POST", "/v1/completions", {{"a", "b"}}, std::string("\0\xff{", 3)};
    CHECK(std::get<HandOver>(decode(encode(handOver)).value()) == handOver);

    TargetStatus status;
    status.prefillTokensPerSecond = 1.5;
    status.tiers = {{Tier(2), 3, 4}};
    CHECK(std::get<TargetStatus>(decode(encode(status)).value()) == status);
}

TEST_CASE("malformed bytes are rejected")
{
    CHECK_FALSE(decode(""));
    CHECK_FALSE(decode("hello"));
    auto bytes = encode(Withdraw {{{1, 2}, 3}, TargetName {"t"}});
    CHECK_FALSE(decode(bytes.substr(0, bytes.size() - 1)));
    bytes[1] = 2;
    CHECK_FALSE(decode(bytes));
}

TEST_CASE("deep nesting is rejected without overflowing the stack")
{
    CHECK_FALSE(decode(std::string(1000000, '\x91')));
}
