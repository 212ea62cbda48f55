#pragma once

#include "monsoonward/values/tied.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace monsoonward
{

/// @brief What kind of failure an Error is.
enum class ErrorCode {
    Invalid, ///< The input is malformed or out of range.
    NotFound,
    Conflict, ///< A condition of a write did not hold; nothing was written.
    Unavailable, ///< Not done: the other side did not take the call.
    Unknown, ///< The call may or may not have taken effect.
    Denied,
};

/// @brief A failure with the value and the place it concerns.
struct Error
{
    ErrorCode code = ErrorCode::Invalid;
    std::string message;
    MONSOONWARD_FIELDS(code, message)
};

/// @brief A value or an Error; access to the wrong side throws boost::outcome_v2::bad_result_access.
template<class T>
using Result = boost::outcome_v2::checked<T, Error>;

std::string textOf(ErrorCode code);

} // namespace monsoonward
