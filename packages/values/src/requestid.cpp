#include "monsoonward/values/requestid.h"

#include <charconv>
#include <cstdio>

namespace monsoonward
{

namespace
{

constexpr std::size_t hexDigits = 16; // in a 64-bit number

std::optional<std::uint64_t> parseNumber(const std::string &text, int base)
{
    std::uint64_t n = 0;
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, n, base);
    if (ec != std::errc() || last != end) {
        return std::nullopt;
    }
    return n;
}

} // namespace

Incarnation makeIncarnation(Random &random)
{
    const auto high = random.next();
    return {high, random.next()};
}

std::string textOf(const Incarnation &incarnation)
{
    char buf[2 * hexDigits + 1];
    std::snprintf(buf,
                  sizeof buf,
                  "%016llx%016llx",
                  static_cast<unsigned long long>(incarnation.high),
                  static_cast<unsigned long long>(incarnation.low));
    return buf;
}

std::string textOf(const RequestId &id)
{
    return textOf(id.entry) + "-" + std::to_string(id.sequence);
}

std::string textOf(const ClaimId &id)
{
    return textOf(id.target) + "-" + std::to_string(id.number);
}

std::optional<RequestId> parseRequestId(const std::string &text)
{
    constexpr std::size_t dash = 2 * hexDigits;
    if (text.size() <= dash || text[dash] != '-') {
        return std::nullopt;
    }
    const auto high = parseNumber(text.substr(0, hexDigits), 16);
    const auto low = parseNumber(text.substr(hexDigits, hexDigits), 16);
    const auto sequence = parseNumber(text.substr(dash + 1), 10);
    if (!high || !low || !sequence) {
        return std::nullopt;
    }
    return RequestId {{*high, *low}, *sequence};
}

} // namespace monsoonward
