#pragma once

#include "monsoonward/control/wallclock.h"

#include <monsoonward/stores/stores.h>

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief What a control node asks of the process around it.
class ControlOutput
{
public:
    virtual ~ControlOutput() = default;
    /// Sends a message on the session stream; lost when the peer is not connected.
    virtual void send(const Peer &to, const Message &message) = 0;
    /// A higher revision is in force from now on.
    virtual void adopt(const ConfigurationPtr &configuration) = 0;
};

/// @brief A call on the operators' address.
struct OperatorRequest
{
    std::string token; ///< the bearer token, empty when missing
    std::string method;
    std::string path; ///< with the query
    std::string body;
    MONSOONWARD_FIELDS(token, method, path, body)
};

/// @brief Its answer: an HTTP status and a JSON body.
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
    std::string bootstrapTokenHash; ///< SHA-256 of the token that may declare while no operator is configured
    Duration pollInterval = std::chrono::seconds(1); ///< how often the head row is read
    const WallClock *wallClock = nullptr; ///< null: the host's
    MONSOONWARD_FIELDS(own, role, region, bootstrapTokenHash, pollInterval, wallClock)
};

/// @brief The part of every daemon that learns the configuration, answers operators and executes plans.
/// One thread (the control thread); all calls return at once.
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
    /// Heartbeat, ConfigurationOffer, ConfigurationRequest and TargetStatus; others are ignored.
    void message(const Peer &from, const Message &message);
    /// @param done called exactly once, on the control thread
    void handle(const OperatorRequest &request, ReplyCallback done);
    /// Runs timers; called at least every 100 ms of the clock.
    void tick();
    /// @return the configuration in force, or null before one can be trusted
    ConfigurationPtr configuration() const;
    /// @return the state as JSON text, for operators
    std::string dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
