#pragma once

#include "guardedstore.h"
#include "membership.h"
#include "records.h"

#include <deque>

namespace monsoonward
{

/// @brief Fetches the configuration from the store and from peers, and passes it on to peers. Adopts only revisions
/// higher than the current one.
class Distribution
{
public:
    Distribution(const ControlOptions &options,
                 const Clock &clock,
                 Random &random,
                 GuardedStore &store,
                 Membership &membership,
                 ControlOutput &output,
                 EventLog &events);

    void tick();
    /// Records the revision that @p peer reported, and requests newer configurations from a peer that has them.
    void onPeerRevision(const Peer &peer, Revision revision);
    void onOffer(const Peer &from, const ConfigurationOffer &offer);
    void onRequest(const Peer &from, const ConfigurationRequest &request);
    /// Applies @p delta, which this daemon has just committed to the store.
    void onCommitted(const Delta &delta);
    /// Schedules a read of the head row for the next tick, or, if a read is in progress, for the tick after it.
    void pollNow();

    /// @return the active configuration, or null
    ConfigurationPtr current() const;
    Revision revision() const;
    ContentHash hash() const;
    /// @return whether the active revision was confirmed by the store, or by peers during an outage of the store
    bool isTrusted() const;
    /// @return the head row as last read, with its version
    const std::optional<Row> &headRow() const;

private:
    struct RecentDelta
    {
        Revision revision = 0;
        std::string bytes;
    };

    void readHead();
    void onHeadRead(const Result<std::optional<Row>> &result);
    void catchUp(const HeadRecord &head);
    void readDeltas(const HeadRecord &head);
    void readSnapshot(const HeadRecord &head);
    void endPoll();
    bool applyDelta(Revision revision, const std::string &bytes);
    bool applySnapshot(const std::string &bytes);
    void adopt(Configuration &&configuration, ContentHash hash);
    void keepRecentDelta(Revision revision, const std::string &bytes);
    void announce();
    void requestFromPeer();
    const PeerView *choosePeer() const;
    void adoptCandidate();
    bool sendDeltas(const Peer &to, Revision knownRevision);

    const ControlOptions &m_options;
    const Clock &m_clock;
    Random &m_random;
    GuardedStore &m_store;
    Membership &m_membership;
    ControlOutput &m_output;
    EventLog &m_events;
    ConfigurationPtr m_current;
    ContentHash m_hash = 0;
    bool m_trusted = false;
    std::optional<Row> m_headRow;
    std::deque<RecentDelta> m_recentDeltas; ///< consecutive revisions, newest last
    std::size_t m_recentBytes = 0;
    bool m_polling = false;
    bool m_pollAgain = false;
    TimePoint m_nextPoll;
    std::optional<TimePoint> m_requestedAt;
    std::optional<TimePoint> m_behindSince;
    std::optional<std::string> m_candidate; ///< snapshot from a peer, held back until it can be trusted
    Revision m_candidateRevision = 0;
};

} // namespace monsoonward
