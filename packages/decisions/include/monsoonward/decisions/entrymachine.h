#pragma once

#include <monsoonward/policy/policy.h>
#include <monsoonward/stores/stores.h>

#include <memory>

namespace monsoonward
{

/// @brief What an entry's state machine asks of the process around it.
class EntryOutput
{
public:
    virtual ~EntryOutput() = default;
    /// Sends a message on the session stream; lost when the peer is not connected.
    virtual void send(const Peer &to, const Message &message) = 0;
    /// Sends the request's body on the claim's stream. Called at most once for each request ID and claim.
    virtual void handOver(const Peer &to, const RequestId &id, const ClaimId &claim) = 0;
    virtual void rejectClaim(const Peer &to, const RequestId &id, const ClaimId &claim) = 0;
    /// The request's final answer when there is no whole answer to deliver. Exactly once, unless complete() is called.
    virtual void refuse(const RequestId &id, const Refusal &refusal) = 0;
    /// The whole answer has arrived.
    virtual void complete(const RequestId &id, const AnswerEnd &end) = 0;
};

/// @brief Settings of an entry's state machine.
struct EntryOptions
{
    Peer own;
    RegionName region;
    Duration heartbeatTimeout = std::chrono::milliseconds(1500); ///< a silent peer is dead after this
    Duration settleTimeout = std::chrono::seconds(1); ///< wait for the word of a lost target
    Duration overrunLimit = std::chrono::seconds(10); ///< a run is cancelled when its deadline passed this long ago
    MONSOONWARD_FIELDS(own, region, heartbeatTimeout, settleTimeout, overrunLimit)
};

/// @brief The hand-over protocol at an entry: the only authority on whether a request may be dispatched.
/// docs/HANDOVER.md has its state table. One thread; all calls return at once.
class EntryMachine
{
public:
    EntryMachine(const EntryOptions &options,
                 const Clock &clock,
                 Random &random,
                 TableService &table,
                 EntryOutput &output,
                 EventLog &events);
    ~EntryMachine();
    EntryMachine(const EntryMachine &) = delete;
    EntryMachine &operator=(const EntryMachine &) = delete;

    /// Requires a configuration before the first request.
    void configure(const ConfigurationPtr &configuration);

    /// @return a request ID that no other request has
    RequestId nextId();
    /// Takes the request on. Its end is told by exactly one call of EntryOutput::refuse or complete, which may come
    /// before this returns.
    void submit(const RequestSpec &spec);
    /// The caller has gone. A waiting request ends; a handed-over one is cancelled.
    void cancel(const RequestId &id);

    void onPeerUp(const Peer &peer, HostRole role);
    void onPeerDown(const Peer &peer);
    /// Any message that came on a session stream, and Claim and AnswerEnd from a request's stream.
    void onMessage(const Peer &from, const Message &message);
    /// A request's stream closed without AnswerEnd.
    void onStreamLost(const Peer &from, const RequestId &id, const ClaimId &claim);
    /// Hosts by the platform's list; it lags.
    void updateHostList(const std::vector<ListedHost> &hosts);

    /// Refuses new requests; waiting and handed-over ones go on.
    void beginShutdown();
    /// @return whether requests of @p tier are admitted here
    bool isTierOpen(const ServiceName &service, Tier tier) const;
    /// @return whether no request is left
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
