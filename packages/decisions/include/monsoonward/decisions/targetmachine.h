#pragma once

#include <monsoonward/policy/policy.h>

#include <memory>

namespace monsoonward
{

/// @brief Carries out what a TargetMachine decides. Implemented by the target daemon's process.
class TargetOutput
{
public:
    virtual ~TargetOutput() = default;
    /// Sends a message on the session stream. It is lost if the peer isn't connected.
    virtual void send(const Peer &to, const Message &message) = 0;
    /// Opens the request's stream to the entry and sends the claim on it.
    virtual void sendClaim(const Peer &to, const Claim &claim) = 0;
    /// Closes the request's stream after its claim was given up.
    virtual void closeStream(const ClaimId &claim) = 0;
    /// Dispatches the request to the engine. Never called twice for a request ID.
    virtual void dispatch(const Claim &claim, const HandOver &request) = 0;
    /// Stops a dispatched request at its engine; finished() follows.
    virtual void cancelRun(const ClaimId &claim) = 0;
};

/// @brief Settings of a TargetMachine.
struct TargetOptions
{
    Peer own; ///< this target daemon
    Duration heartbeatInterval = std::chrono::milliseconds(300);
    Duration heartbeatTimeout = std::chrono::milliseconds(1500); ///< not used by TargetMachine
    Duration claimTimeout = std::chrono::seconds(1); ///< how long to wait for the answer to a claim
    MONSOONWARD_FIELDS(own, heartbeatInterval, heartbeatTimeout, claimTimeout)
};

/// @brief State machine of the hand-over protocol at a target daemon, for all its targets. docs/HANDOVER.md has the
/// state table. Not thread-safe; no call blocks.
class TargetMachine
{
public:
    TargetMachine(const TargetOptions &options, const Clock &clock, TargetOutput &output, EventLog &events);
    ~TargetMachine();
    TargetMachine(const TargetMachine &) = delete;
    TargetMachine &operator=(const TargetMachine &) = delete;

    /// Sets the targets to serve: those that the configuration places on this host.
    void configure(const ConfigurationPtr &configuration);

    void onPeerUp(const Peer &peer);
    void onPeerDown(const Peer &peer);
    /// Handles all messages from session streams, and HandOver and ClaimRejected from request streams.
    void onMessage(const Peer &from, const Message &message);
    /// The stream of the claim's request closed.
    void onStreamLost(const ClaimId &claim);

    void onFirstToken(const ClaimId &claim);
    void onTokens(const ClaimId &claim, std::uint32_t count);
    /// The engine has finished the request or broken it off.
    void onFinished(const ClaimId &claim, const RunStats &stats);
    void onEngineLoad(const EngineName &engine, std::uint32_t running, std::uint32_t waiting);
    void onInheritedRequests(const EngineName &engine, std::uint32_t running);
    void setEngineUp(const EngineName &engine, bool up);
    void onCacheEvent(const EngineName &engine,
                      const std::vector<PrefixHash> &cached,
                      const std::vector<PrefixHash> &evicted);

    /// Stops claiming requests; those in progress finish.
    void beginShutdown();
    /// @return whether no request is in progress, no claim is open and no connected entry has a refusal to acknowledge
    bool idle() const;
    /// Runs timers. Must be called at least every 100 ms of the clock.
    void tick();
    /// @return the state as JSON for operators
    std::string dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
