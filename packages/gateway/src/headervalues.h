#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoonward
{

std::string_view viewOf(boost::beast::string_view text);
/// @return the sum of a comma-separated list of numbers, or nothing if @p text is not such a list
std::optional<double> sumOfList(std::string_view text);
/// @return the value of "timeout=" in a Keep-Alive header, or zero
Duration keepAliveTimeoutOf(const boost::beast::http::fields &fields);
/// @param max longer durations are cut to this
/// @return the duration of a Retry-After header in seconds, or nothing if there is none or it is no number
std::optional<Duration> retryAfterOf(const boost::beast::http::fields &fields, Duration max);
/// @param name of a header that states requests per second as a decimal number
/// @return the limit, or nothing if there is no such header. Errors: Invalid if it is there twice, is no decimal
/// number, or is above EngineLimits::maxPerSecond.
Result<std::optional<double>> rateLimitOf(const boost::beast::http::fields &fields, const std::string &name);
/// @return seconds with two decimals, rounded up, for the Retry-After header
std::string retryAfterText(Duration duration);
bool isEventStream(const boost::beast::http::fields &fields);

} // namespace monsoonward
