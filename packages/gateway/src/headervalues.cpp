#include "headervalues.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsoonward
{

namespace http = boost::beast::http;

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<double> sumOfList(std::string_view text)
{
    double sum = 0;
    while (!text.empty()) {
        double n = 0;
        const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || !std::isfinite(n) || n < 0) {
            return std::nullopt;
        }
        sum += n;
        text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
        if (!text.empty() && text.front() != ',') {
            return std::nullopt;
        }
        text.remove_prefix(text.empty() ? 0 : 1);
    }
    return std::isfinite(sum) ? std::optional<double>(sum) : std::nullopt;
}

Duration keepAliveTimeoutOf(const http::fields &fields)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view text(fields["Keep-Alive"].data(), fields["Keep-Alive"].size());
    const auto at = text.find(key);
    unsigned seconds = 0;
    if (at != std::string_view::npos) {
        std::from_chars(text.data() + at + key.size(), text.data() + text.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

std::optional<Duration> retryAfterOf(const http::fields &fields, Duration max)
{
    const auto text = fields[http::field::retry_after];
    double seconds = 0;
    const auto end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, seconds);
    if (text.empty() || ec != std::errc() || stop != end || !(seconds >= 0)) {
        return std::nullopt;
    }
    const std::chrono::duration<double> limit = max; // a longer duration may not fit into Duration
    return std::chrono::duration_cast<Duration>(std::min(std::chrono::duration<double>(seconds), limit));
}

Result<std::optional<double>> rateLimitOf(const http::fields &fields, const std::string &name)
{
    const auto [first, last] = fields.equal_range(name);
    if (first == last) {
        return std::optional<double>();
    }
    if (std::next(first) != last) {
        return Error {ErrorCode::Invalid, "stated more than once"};
    }
    const auto text = viewOf(first->value());
    double perSecond = 0;
    const auto *const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, perSecond, std::chars_format::fixed);
    if (ec != std::errc() || stop != end || !std::isfinite(perSecond)) {
        return Error {ErrorCode::Invalid, "no decimal number"};
    }
    if (std::signbit(perSecond) || perSecond > EngineLimits::maxPerSecond) {
        return Error {ErrorCode::Invalid, "out of range"};
    }
    return std::optional<double>(perSecond);
}

std::string retryAfterText(Duration duration)
{
    constexpr double hundredths = 100;
    const auto n = static_cast<unsigned>(std::ceil(std::chrono::duration<double>(duration).count() * hundredths));
    const auto rest = std::to_string(n % 100);
    return std::to_string(n / 100) + "." + (rest.size() == 1 ? "0" : "") + rest;
}

bool isEventStream(const http::fields &fields)
{
    constexpr std::string_view type = "text/event-stream";
    return viewOf(fields[http::field::content_type]).substr(0, type.size()) == type;
}

} // namespace monsoonward
