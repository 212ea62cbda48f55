#pragma once

#include <monsoonward/policy/policy.h>
#include <monsoonward/stores/stores.h>

#include <memory>

namespace monsoonward
{

/// @brief Carries out what an EntryMachine decides. Implemented by the entry process.
class EntryOutput
{
public:
    virtual ~EntryOutput() = default;
    /// Sends a message on the session stream. It is lost if the peer isn't connected.
    virtual void send(const Peer &to, const Message &message) = 0;
    /// Sends the request's body on the claim's stream. Called at most once for each request ID and claim.
    virtual void handOver(const Peer &to, const RequestId &id, const ClaimId &claim) = 0;
    /// Answers a claim with ClaimRejected: it doesn't get the request.
    virtual void rejectClaim(const Peer &to, const RequestId &id, const ClaimId &claim) = 0;
    /// Ends a request without a complete answer. Each request ends with exactly one call of refuse() or complete().
    virtual void refuse(const RequestId &id, const Refusal &refusal) = 0;
    /// Ends a request whose complete answer has arrived.
    virtual void complete(const RequestId &id, const AnswerEnd &end) = 0;
};

/// @brief Settings of an EntryMachine.
struct EntryOptions
{
    Peer own; ///< this entry
    RegionName region;
    Duration heartbeatTimeout =
        std::chrono::milliseconds(1500); ///< a peer without messages for this long counts as lost
    Duration settleTimeout = std::chrono::seconds(1); ///< how long to wait for a holder's reply to Cancel
    Duration overrunLimit = std::chrono::seconds(10); ///< a run is cancelled this long after its deadline
    MONSOONWARD_FIELDS(own, region, heartbeatTimeout, settleTimeout, overrunLimit)
};

/// @brief State machine of the hand-over protocol at an entry. A request can only be dispatched after this class has
/// handed it over. docs/HANDOVER.md has the state table. Not thread-safe; no call blocks.
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

    /// Must be called before the first request is submitted.
    void configure(const ConfigurationPtr &configuration);

    /// @return a new request ID, unique in the fleet
    RequestId nextId();
    /// Starts a request. It ends with exactly one call of EntryOutput::refuse or complete, possibly before this
    /// function returns.
    void submit(const RequestSpec &spec);
    /// The caller has gone: ends a waiting request, or cancels one that was handed over.
    void cancel(const RequestId &id);

    void onPeerUp(const Peer &peer, HostRole role);
    void onPeerDown(const Peer &peer);
    /// Handles all messages from session streams, and Claim and AnswerEnd from request streams.
    void onMessage(const Peer &from, const Message &message);
    /// A request's stream closed without AnswerEnd.
    void onStreamLost(const Peer &from, const RequestId &id, const ClaimId &claim);
    /// Sets the hosts that the platform lists. The list may be outdated.
    void updateHostList(const std::vector<ListedHost> &hosts);

    /// Refuses new requests from now on; waiting and handed-over ones continue.
    void beginShutdown();
    /// @return whether this entry admits requests of @p tier
    bool isTierOpen(const ServiceName &service, Tier tier) const;
    /// @return whether no requests are in progress and no row updates are pending
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
