#pragma once

#include "monsoonward/control/wallclock.h"

#include <monsoonward/stores/stores.h>

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief Callbacks through which a control node sends messages and applies configurations.
class ControlOutput
{
public:
    virtual ~ControlOutput() = default;
    /// Sends a message on the session stream to @p to. Drops it if the peer is not connected.
    virtual void send(const Peer &to, const Message &message) = 0;
    /// Applies @p configuration, whose revision is higher than that of the previous call.
    virtual void adopt(const ConfigurationPtr &configuration) = 0;
};

/// @brief An HTTP request from an operator.
struct OperatorRequest
{
    std::string token; ///< bearer token; empty if there is none
    std::string method;
    std::string path; ///< including the query string
    std::string body;
    MONSOONWARD_FIELDS(token, method, path, body)
};

/// @brief The response to an OperatorRequest: an HTTP status and a JSON body.
struct OperatorReply
{
    unsigned status = 0;
    std::string body;
    MONSOONWARD_FIELDS(status, body)
};

struct ControlOptions
{
    Peer own;
    HostRole role = HostRole::Entry;
    RegionName region;
    std::string bootstrapTokenHash; ///< SHA-256 of the token that is accepted while no operator is configured
    Duration pollInterval = std::chrono::seconds(1); ///< interval at which the leader of a region reads the head row
    const WallClock *wallClock = nullptr; ///< null: the system clock
    MONSOONWARD_FIELDS(own, role, region, bootstrapTokenHash, pollInterval, wallClock)
};

/// @brief The component of every daemon that fetches the configuration, serves the operator API and executes plans.
/// All calls must come from one thread, the control thread. None of them blocks.
class ControlNode
{
public:
    using ReplyCallback = std::function<void(const OperatorReply &)>;

    ControlNode(const ControlOptions &options,
                const Clock &clock,
                Random &random,
                TableService &table,
                ObjectStore &objects,
                ControlOutput &output,
                EventLog &events);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    void peerUp(const Peer &peer, HostRole role);
    void peerDown(const Peer &peer);
    /// Handles Heartbeat, ConfigurationOffer, ConfigurationRequest and TargetStatus, and ignores other messages.
    void message(const Peer &from, const Message &message);
    /// @param done called exactly once, on the control thread
    void handle(const OperatorRequest &request, ReplyCallback done);
    /// Runs due timers. Must be called at least every 100 ms of the clock.
    void tick();
    /// @return the active configuration, or null until one has been adopted
    ConfigurationPtr configuration() const;
    /// @return the internal state as JSON text, for diagnosis
    std::string dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
