#pragma once

#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/streamtable.h"

namespace monsoonward
{

/// A run of a daemon's process: a hash of its host, address and incarnation.
using DaemonRun = std::uint64_t;

/// @brief Another daemon that may know streams.
struct StreamPeer
{
    HostName host;
    Address address;
    std::uint64_t incarnation = 0; ///< identifies one run of its process, which knows nothing of what former ones knew
    MONSOONWARD_FIELDS(host, address, incarnation)
};

/// @brief How a list of daemons differs from the one before.
struct PeerChanges
{
    std::vector<StreamPeer> added; ///< new daemons, and new runs of known ones
    std::vector<DaemonRun> removed; ///< runs that ended
    MONSOONWARD_FIELDS(added, removed)
};

/// @brief Orders the other registered daemons for each stream by rendezvous hashing, in the same way at all daemons.
class StreamRanking
{
public:
    /// @param fleet must outlive this object
    explicit StreamRanking(const FleetView &fleet);

    /// Replaces the other registered daemons.
    PeerChanges setPeers(std::vector<StreamPeer> peers);
    std::size_t size() const;
    /// @return the first daemons in an order that depends on the stream only; those that report come before those that
    /// don't
    std::vector<StreamPeer> ranked(const StreamKey &stream, std::size_t count, TimePoint now) const;
    /// @return what orders the daemons of a stream; the lowest one comes first
    static std::uint64_t weight(const StreamKey &stream, const StreamPeer &peer);
    /// @return how many of these runs come before this daemon in the stream's order
    std::size_t countBefore(const StreamKey &stream, const std::vector<DaemonRun> &runs, TimePoint now) const;
    /// @return the listed daemon that has the address; null if there is none
    const StreamPeer *findAt(const Address &address) const;
    /// @return the listed daemon of which this is the present run; null if there is none
    const StreamPeer *find(DaemonRun run) const;

private:
    /// How old the knowledge may be which daemons report; it is looked up for all daemons at once.
    static constexpr Duration maxReportingAge = std::chrono::milliseconds(50);

    void refreshReporting(TimePoint now) const;

    const FleetView &m_fleet;
    std::uint64_t m_ownHash;
    std::vector<StreamPeer> m_peers;
    std::vector<std::uint64_t> m_hashes; // of the names in m_peers
    std::map<Address, std::size_t> m_byAddress; // indexes in m_peers
    std::map<DaemonRun, std::size_t> m_byRun;
    mutable std::vector<bool> m_isReporting; // for m_peers; empty if it isn't known
    mutable TimePoint m_reportingAt;
};

DaemonRun runOf(const StreamPeer &peer);

} // namespace monsoonward
