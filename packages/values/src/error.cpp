#include "monsoonward/values/error.h"

namespace monsoonward
{

std::string textOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Invalid:
        return "invalid";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Denied:
        return "denied";
    }
    return "unknown";
}

} // namespace monsoonward
