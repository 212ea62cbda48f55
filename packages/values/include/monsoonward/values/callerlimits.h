#pragma once

#include "monsoonward/values/tied.h"
#include "monsoonward/values/time.h"

#include <cstdint>

namespace monsoonward
{

/// @brief Limits on the size and duration of a caller's HTTP requests.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16U * 1024U;
    std::uint32_t maxBodyBytes = 4U * 1024U * 1024U;
    Duration headerTimeout = std::chrono::seconds(3); ///< for receiving the whole header of a request
    Duration idleTimeout = std::chrono::seconds(15); ///< of a connection between two requests
    MONSOONWARD_FIELDS(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)
};

} // namespace monsoonward
