#pragma once

#include "monsoonward/values/tied.h"
#include "monsoonward/values/time.h"

#include <cstdint>

namespace monsoonward
{

/// @brief Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16U * 1024U;
    std::uint32_t maxBodyBytes = 4U * 1024U * 1024U;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    MONSOONWARD_FIELDS(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)
};

} // namespace monsoonward
