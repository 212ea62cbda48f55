#pragma once

#include "monsoonward/policy/entrypolicy.h"

#include <functional>
#include <map>
#include <vector>

namespace monsoonward
{

/// @brief How an entry treats the requests of a tier at the moment.
enum class TierState {
    Open, ///< admitted and placed
    Held, ///< neither placed nor refused, while the entries are agreeing on closing the tier, or shortly after this
          ///< entry's start
    Closed, ///< refused
};

/// @brief Closes the tiers of one service in agreement with all other entries, so that no request is shed while
/// requests of a lower tier are admitted at any entry. docs/POLICY.md describes the protocol.
///
/// An entry may shed requests of a tier only while every lower tier is closed here and each other entry has confirmed
/// that it is closed there. A confirmation is valid for the length of a lease that starts when the request for it was
/// sent. The lowest tier may always be shed.
class TierGate
{
public:
    TierGate(const ServiceName &service, const Clock &clock, EntryPolicyOutput &output, EventLog &events);

    /// @param lowest the lowest configured tier
    void setLowestTier(Tier lowest);

    void onEntryUp(const Peer &peer);
    void onEntryDown(const Peer &peer);
    void onCloseTiers(const Peer &from, const CloseTiers &request);
    void onTiersClosed(const Peer &from, const TiersClosed &confirmation);

    /// A request of @p tier must be shed because of the load. Requests the other entries to close the lower tiers.
    void requestShedding(Tier tier);
    /// @return whether a request of @p tier may be shed now
    bool mayShed(Tier tier) const;
    TierState stateOf(Tier tier) const;

    /// Closes and reopens tiers, confirms closed tiers to other entries and renews the requests to them.
    /// @param evict sheds every waiting request of a tier; called from the lowest tier upwards
    void tick(const std::function<void(Tier)> &evict);

private:
    /// A tier as a number, where 0 is the highest tier. "Closed from a level" includes that tier and all lower ones.
    using Level = unsigned;

    struct PeerState
    {
        Peer peer;
        bool reachable = true;
        TimePoint unreachableSince {};
        std::map<Level, TimePoint> closedUntil; // expiry of its confirmations to this entry, by tier
        std::map<Level, TimePoint> promisedUntil; // until when this entry keeps a tier closed for it
        std::uint64_t requestSequence = 0; // of its last CloseTiers
        Level requestedFrom = 0; // its last CloseTiers asks to close from this level
        TimePoint requestExpiresAt {};
        Level confirmedFrom = 0; // level that was confirmed in reply to the last CloseTiers
    };

    /// Keeps the lower tiers closed for some time after a request had to be shed.
    struct ShedDemand
    {
        TimePoint until {};
        Duration duration {}; // doubles while the demand recurs
    };

    struct SentRequest
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt {};
    };

    /// @return the level below the lowest tier; "closed from" this level means that all tiers are open
    Level allOpenLevel() const;
    /// @return the level from which all entries must be closed before this entry may shed what its own demands name
    Level demandedClosedFrom() const;
    /// @return the level from which this entry should be closed, for its own demands and its promises to others
    Level desiredClosedFrom() const;
    /// @return the level from which the other entries must be closed so that this entry can meet its demands and close
    /// the tiers that it should
    Level levelToRequest() const;
    bool closedAtAllPeers(Level from) const;
    bool mayShedLevel(Level level) const;
    void requestClosing(Level from);
    void confirmClosed(PeerState &peerState);
    void confirmAll();
    void recordChange(Level before);
    PeerState *findPeer(const Peer &peer);

    ServiceName m_service;
    const Clock &m_clock;
    EntryPolicyOutput &m_output;
    EventLog &m_events;
    Level m_lowestLevel = 0;
    Level m_closedFrom = 1; // level from which the tiers are closed at this entry
    TimePoint m_startedAt;
    std::map<HostName, PeerState> m_peers;
    std::map<Level, ShedDemand> m_demands; // by the tier that must be shed
    std::vector<SentRequest> m_sentRequests; // those whose lease has not expired
    std::uint64_t m_requestSequence = 0;
    Level m_requestedFrom = 0;
    TimePoint m_requestedAt {};
};

} // namespace monsoonward
