#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <string>

namespace monsoonward
{

/// @brief The operators' order to move a service's requests to engines of a version.
struct RolloutOrder
{
    ServiceName service;
    std::string to; ///< version of the engines' software
    Duration timeLimit {}; ///< from the order until it must be completed or rolled back
    std::uint64_t id = 0; ///< row version of the order
    MONSOONWARD_FIELDS(service, to, timeLimit, id)
};

/// @brief The state of a roll-out as it is stored.
enum class RolloutState { Active, Completed, RolledBack };

/// @brief The row in which gateways store the state of a roll-out.
struct RolloutStatus
{
    ServiceName service;
    std::string to;
    RolloutState state = RolloutState::Active;
    std::uint64_t orderId = 0; ///< RolloutOrder::id
    std::int64_t orderedAtMs = 0; ///< the store's clock when the order was first read; 0 if unknown
    std::string reason {}; ///< why it was rolled back
    MONSOONWARD_FIELDS(service, to, state, orderId, orderedAtMs, reason)
};

/// @brief Bounds of trials. A share of 0 disables roll-outs.
struct RolloutLimits
{
    double exposureShare = 0; ///< of the service's requests between order and time limit that a bad version may get
    double exposureSlack = 0; ///< requests that it may get besides
    Duration rollbackTime = std::chrono::seconds(5); ///< from evidence that a version is bad until it gets nothing
    MONSOONWARD_FIELDS(exposureShare, exposureSlack, rollbackTime)

    bool isEnabled() const
    {
        return exposureShare > 0;
    }
};

} // namespace monsoonward
