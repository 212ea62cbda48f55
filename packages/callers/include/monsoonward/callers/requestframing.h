#pragma once

#include <monsoonward/values/values.h>

#include <boost/beast/http/fields.hpp>

#include <string>
#include <variant>

namespace monsoonward
{

/// @brief How the end of a request's body is found.
enum class BodyFraming {
    None, ///< there is no body
    Length, ///< Content-Length states its bytes
    Chunked, ///< the last chunk ends it
};

/// @brief Why a request is refused before its body is read.
struct FramingFault
{
    unsigned status = 0; ///< 400, or 501 for a coding that is not known
    std::string reason; ///< one of a fixed set of words
    MONSOONWARD_FIELDS(status, reason)
};

/// Decides how the body of a request is framed. What isn't certain is refused, since an engine could read it otherwise.
/// @param fields all headers of the request
/// @param version 10 or 11, as in Beast
std::variant<BodyFraming, FramingFault> framingOf(const boost::beast::http::fields &fields, unsigned version);

/// Removes what @p fields state of the framing, and states the length that was read.
/// @param bodyBytes of the body that was read
void frameAnew(boost::beast::http::fields &fields, BodyFraming framing, std::size_t bodyBytes);

} // namespace monsoonward
