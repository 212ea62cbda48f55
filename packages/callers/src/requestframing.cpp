#include "monsoonward/callers/requestframing.h"

#include <algorithm>
#include <iterator>

namespace monsoonward
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned badRequest = 400;
constexpr unsigned notImplemented = 501;
constexpr unsigned firstVersionWithCodings = 11;
constexpr std::string_view blanks = " \t";

FramingFault malformed(std::string reason)
{
    return {badRequest, std::move(reason)};
}

std::string_view trimmed(std::string_view text)
{
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~"; // RFC 9110, 5.6.2
    return std::all_of(text.begin(), text.end(), [&](char it) {
        return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z')
            || marks.find(it) != std::string_view::npos;
    });
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// @return the transfer codings on all lines, in their order; empty elements of the lists are left out
std::vector<std::string_view> codingsOf(const http::fields &fields)
{
    std::vector<std::string_view> codings;
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    for (auto line = first; line != last; ++line) {
        std::string_view rest(line->value().data(), line->value().size());
        while (!rest.empty()) {
            const auto end = std::min(rest.find(','), rest.size());
            if (const auto coding = trimmed(rest.substr(0, end)); !coding.empty()) {
                codings.push_back(coding);
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return codings;
}

std::variant<BodyFraming, FramingFault> framingOfCodings(const std::vector<std::string_view> &codings)
{
    const auto isChunked = [](std::string_view it) { return boost::beast::iequals({it.data(), it.size()}, "chunked"); };
    if (codings.empty() || !std::all_of(codings.begin(), codings.end(), isToken)) {
        return malformed("coding-malformed");
    }
    if (std::any_of(codings.begin(), std::prev(codings.end()), isChunked)) {
        return malformed("chunked-not-last");
    }
    if (codings.size() != 1 || !isChunked(codings.front())) {
        return FramingFault {notImplemented, "coding-unknown"};
    }
    return BodyFraming::Chunked;
}

} // namespace

std::variant<BodyFraming, FramingFault> framingOf(const http::fields &fields, unsigned version)
{
    const auto lengths = fields.count(http::field::content_length);
    const bool hasCodings = fields.count(http::field::transfer_encoding) != 0;
    if (fields.count(http::field::host) > 1) {
        return malformed("two-hosts");
    }
    if (lengths > 1 || (lengths != 0 && hasCodings)) {
        return malformed("two-lengths");
    }
    if (lengths != 0) {
        const auto text = fields[http::field::content_length];
        if (!isNumber(trimmed({text.data(), text.size()}))) {
            return malformed("length-malformed");
        }
        return BodyFraming::Length;
    }
    if (!hasCodings) {
        return BodyFraming::None;
    }
    if (version < firstVersionWithCodings) {
        return malformed("coding-in-version");
    }
    return framingOfCodings(codingsOf(fields));
}

void frameAnew(http::fields &fields, BodyFraming framing, std::size_t bodyBytes)
{
    fields.erase(http::field::transfer_encoding);
    fields.erase(http::field::trailer);
    fields.erase(http::field::content_length);
    if (framing != BodyFraming::None) {
        fields.set(http::field::content_length, std::to_string(bodyBytes));
    }
}

} // namespace monsoonward
