#pragma once

#include <monsoonward/policy/policy.h>

#include <memory>

namespace monsoonward
{

/// @brief What a target daemon's state machine asks of the process around it.
class TargetOutput
{
public:
    virtual ~TargetOutput() = default;
    /// Sends a message on the session stream; lost when the peer is not connected.
    virtual void send(const Peer &to, const Message &message) = 0;
    /// Opens the request's stream to the entry and sends the claim on it.
    virtual void sendClaim(const Peer &to, const Claim &claim) = 0;
    /// Closes the request's stream; its answer isn't wanted any more.
    virtual void closeStream(const ClaimId &claim) = 0;
    /// Dispatches the request to the engine. Called at most once for each request ID, ever.
    virtual void dispatch(const Claim &claim, const HandOver &request) = 0;
    /// Stops a dispatched request at its engine; finished() follows.
    virtual void cancelRun(const ClaimId &claim) = 0;
};

struct TargetOptions
{
    Peer own;
    Duration heartbeatInterval = std::chrono::milliseconds(300);
    Duration heartbeatTimeout = std::chrono::milliseconds(1500);
    Duration claimTimeout = std::chrono::seconds(1); ///< a claim without an answer is given up after this
    MONSOONWARD_FIELDS(own, heartbeatInterval, heartbeatTimeout, claimTimeout)
};

/// @brief The hand-over protocol at a target daemon, for all its targets. docs/HANDOVER.md has its state table.
/// One thread; all calls return at once.
class TargetMachine
{
public:
    TargetMachine(const TargetOptions &options, const Clock &clock, TargetOutput &output, EventLog &events);
    ~TargetMachine();
    TargetMachine(const TargetMachine &) = delete;
    TargetMachine &operator=(const TargetMachine &) = delete;

    /// Serves the targets that the configuration places on this host.
    void configure(const ConfigurationPtr &configuration);

    void onPeerUp(const Peer &peer);
    void onPeerDown(const Peer &peer);
    /// Any message that came on a session stream, and HandOver and ClaimRejected from a request's stream.
    void onMessage(const Peer &from, const Message &message);
    /// The request's stream closed.
    void onStreamLost(const ClaimId &claim);

    void onFirstToken(const ClaimId &claim);
    void onTokens(const ClaimId &claim, std::uint32_t count);
    /// The engine is done with the request, whole or not.
    void onFinished(const ClaimId &claim, const RunStats &stats);
    void onEngineLoad(const EngineName &engine, std::uint32_t running, std::uint32_t waiting);
    void onInheritedRequests(const EngineName &engine, std::uint32_t running);
    void setEngineUp(const EngineName &engine, bool up);
    void onCacheEvent(const EngineName &engine,
                      const std::vector<PrefixHash> &cached,
                      const std::vector<PrefixHash> &evicted);

    /// Refuses new work at once; requests in progress finish.
    void beginShutdown();
    /// @return whether no request is in progress and no claim is open
    bool idle() const;
    /// Runs timers; called at least every 100 ms of the clock.
    void tick();
    /// @return the state as JSON text, for operators
    std::string dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
