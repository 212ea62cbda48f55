#pragma once

#include "monsoonward/policy/entrypolicy.h"

#include <functional>
#include <map>
#include <vector>

namespace monsoonward
{

/// @brief How an entry treats a tier at the moment.
enum class TierStanding {
    Open, ///< admitted
    Held, ///< neither admitted nor refused: closing is being agreed
    Closed, ///< refused
};

/// @brief Closing the tiers of one service in agreement with all other entries, so that no tier is shed while a lower
/// one is admitted anywhere. docs/POLICY.md has the protocol.
///
/// An entry may shed a tier only while it holds the right to: every lower tier is closed here and, by the word of each
/// other entry, there, for the length of a lease that counts from the asking. The lowest tier may always be shed.
class TierGate
{
public:
    TierGate(const ServiceName &service, const Clock &clock, EntryPolicyOutput &output, EventLog &events);

    /// @param lowest the lowest tier that is configured
    void setLowest(Tier lowest);

    void onEntryUp(const Peer &peer);
    void onEntryDown(const Peer &peer);
    void closeAsked(const Peer &from, const CloseTiers &ask);
    void closedAnswered(const Peer &from, const TiersClosed &answer);

    /// Load leaves no way for a request of @p tier but to be shed: asks for the right.
    void needShed(Tier tier);
    /// @return whether a request of @p tier may be shed now
    bool mayShed(Tier tier) const;
    TierStanding standing(Tier tier) const;

    /// Closes tiers that may be closed now and renews what is needed.
    /// @param evict sheds every waiting request of a tier; called from the lowest tier upwards
    void tick(const std::function<void(Tier)> &evict);

private:
    using Level = unsigned;

    struct PeerView
    {
        Peer peer;
        bool reachable = true;
        TimePoint lostAt {};
        std::map<Level, TimePoint> closedUntil; // its promises to this entry, by tier
        std::map<Level, TimePoint> promisedUntil; // this entry's promises to it, by tier
        std::uint64_t askNumber = 0; // of its last ask
        Level askedFrom = 0;
        TimePoint askExpires {};
        Level answeredFrom = 0;
    };

    struct Need
    {
        TimePoint until {};
        Duration hold {};
    };

    struct SentAsk
    {
        std::uint64_t number = 0;
        TimePoint at {};
    };

    Level allOpen() const;
    Level neededFrom() const;
    Level desiredFrom() const;
    Level askFrom() const;
    bool closedElsewhere(Level from) const;
    bool mayShedLevel(Level level) const;
    void ask(Level from);
    void answer(PeerView &view);
    void answerAll();
    void recordChange(Level before);
    PeerView *viewOf(const Peer &peer);

    ServiceName m_service;
    const Clock &m_clock;
    EntryPolicyOutput &m_output;
    EventLog &m_events;
    Level m_lowest = 0;
    Level m_effective = 1; // tiers from here on are closed and none of their requests waits here
    TimePoint m_startedAt;
    std::map<HostName, PeerView> m_peers;
    std::map<Level, Need> m_needs; // by the tier to be shed
    std::vector<SentAsk> m_sent; // within the last lease
    std::uint64_t m_askNumber = 0;
    Level m_askedFrom = 0;
    TimePoint m_askedAt {};
};

} // namespace monsoonward
