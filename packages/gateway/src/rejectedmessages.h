#pragma once

#include "gatewaycore.h"

#include <map>

namespace monsoonward
{

/// @brief Counts and logs messages of other hosts that are dropped. Each sender and reason is logged once a minute.
class RejectedMessages
{
public:
    static constexpr Duration logInterval = std::chrono::minutes(1);

    explicit RejectedMessages(GatewayCore &core);
    RejectedMessages(const RejectedMessages &) = delete;
    RejectedMessages &operator=(const RejectedMessages &) = delete;

    /// @param what name of the log record
    /// @param reason one of a fixed set
    void reject(std::string_view what, const Address &sender, const std::string &reason);

private:
    using Key = std::pair<Address, std::string>; // sender and reason

    GatewayCore &m_core;
    std::map<Key, TimePoint> m_loggedAt;
};

} // namespace monsoonward
