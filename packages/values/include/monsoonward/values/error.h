#pragma once

#include "monsoonward/values/tied.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace monsoonward
{

/// @brief Category of an Error.
enum class ErrorCode {
    Invalid, ///< The input is malformed or out of range.
    NotFound,
    Conflict, ///< The precondition of a conditional write failed; nothing was written.
    Unavailable, ///< The operation was not carried out: the service didn't accept the call.
    Unknown, ///< The outcome is unknown: the call may or may not have taken effect.
    Denied,
};

/// @brief A failure. The message names the offending value and where it came from.
struct Error
{
    ErrorCode code = ErrorCode::Invalid;
    std::string message;
    MONSOONWARD_FIELDS(code, message)
};

/// @brief A value or an Error. Accessing the one that isn't there throws boost::outcome_v2::bad_result_access.
template<class T>
using Result = boost::outcome_v2::checked<T, Error>;

/// @return a stable lower-case word, such as "not-found"
std::string textOf(ErrorCode code);

} // namespace monsoonward
