#include "monsoonward/ini/ini.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>

#include <array>
#include <charconv>
#include <limits>

namespace monsoonward
{

namespace
{

struct Unit
{
    const char *name;
    Duration length;
};

const std::array<Unit, 7> units {{{"ns", std::chrono::nanoseconds(1)},
                                  {"us", std::chrono::microseconds(1)},
                                  {"ms", std::chrono::milliseconds(1)},
                                  {"s", std::chrono::seconds(1)},
                                  {"min", std::chrono::minutes(1)},
                                  {"h", std::chrono::hours(1)},
                                  {"d", std::chrono::hours(24)}}};

Error invalidValue(const std::string &text, const char *allowed)
{
    return {ErrorCode::Invalid, "\"" + text + "\" is not " + allowed};
}

/// Parses a number with a decimal point and a unit, as in "5.1 s".
Result<Duration> parseFraction(const std::string &text, const char *allowed)
{
    double n = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), n, std::chars_format::fixed);
    const auto name = boost::trim_copy(std::string(rest, text.data() + text.size()));
    for (const auto &it : units) {
        const auto length = n * static_cast<double>(it.length.count());
        if (ec == std::errc() && name == it.name && length < static_cast<double>(Duration::max().count())) {
            return Duration(static_cast<Duration::rep>(length));
        }
    }
    return invalidValue(text, allowed);
}

} // namespace

Result<std::uint64_t> parseNumber(const std::string &text, std::uint64_t max)
{
    std::uint64_t n = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || parsedEnd != end || n > max) {
        return invalidValue(text, ("an integer from 0 to " + std::to_string(max)).c_str());
    }
    return n;
}

Result<Duration> parseDuration(const std::string &text)
{
    constexpr const char *allowed = "a number with a unit (ns, us, ms, s, min, h, d)";
    const auto digits = text.find_first_not_of("0123456789");
    if (digits == std::string::npos || digits == 0) {
        return invalidValue(text, allowed);
    }
    if (text[digits] == '.') {
        return parseFraction(text, allowed);
    }
    const auto name = boost::trim_copy(text.substr(digits));
    for (const auto &it : units) {
        if (name != it.name) {
            continue;
        }
        const auto max = static_cast<std::uint64_t>(Duration::max().count() / it.length.count());
        const auto n = parseNumber(text.substr(0, digits), max);
        if (!n) {
            return n.error();
        }
        return it.length * static_cast<Duration::rep>(n.value());
    }
    return invalidValue(text, allowed);
}

Result<Address> parseAddress(const std::string &text)
{
    constexpr const char *allowed = "an IP address and a port, as in 127.0.0.1:8080";
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return invalidValue(text, allowed);
    }
    auto ip = text.substr(0, colon);
    if (ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code ec;
    boost::asio::ip::make_address(ip, ec);
    const auto port = parseNumber(text.substr(colon + 1), std::numeric_limits<std::uint16_t>::max());
    if (ec || !port) {
        return invalidValue(text, allowed);
    }
    return Address {ip, static_cast<std::uint16_t>(port.value())};
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto comma = std::min(text.find(',', begin), text.size());
        const auto part = boost::trim_copy(text.substr(begin, comma - begin));
        if (!part.empty()) {
            parts.push_back(part);
        }
        begin = comma + 1;
    }
    return parts;
}

} // namespace monsoonward
