#pragma once

#include "monsoonward/dispatch/streamranking.h"

#include <limits>
#include <set>

namespace monsoonward
{

/// @brief What another daemon was told of a stream.
struct StreamCopy
{
    DaemonRun run = 0;
    std::uint32_t sends = 0; ///< messages that asked for a confirmation; 0 if it was told without one
    bool isConfirmed = false;
    TimePoint sentAt; ///< of the last of these messages
    MONSOONWARD_FIELDS(run, sends, isConfirmed, sentAt)
};

/// @brief Which other daemons have copies of what this daemon knows of streams, and which streams have to be looked at
/// because copies may be missing.
class StreamCopies
{
public:
    /// The copies of a stream; an entry is made for a new one.
    std::vector<StreamCopy> &of(const StreamKey &stream);
    /// @return the copy at a daemon's run; null if it has none
    static StreamCopy *find(std::vector<StreamCopy> &copies, DaemonRun run);
    void forget(const StreamKey &stream);
    /// The stream has to be looked at by then, or earlier if that was asked for before.
    void setDue(const StreamKey &stream, TimePoint at);
    /// The stream need not be looked at, unless it is due already.
    void clearDue(const StreamKey &stream, TimePoint now);
    /// All streams have to be looked at.
    void setAllDue(TimePoint at);
    /// States which daemons hold the stream now: of later ones, only those that rank before the last of them matter.
    /// @param ranked the first daemons of the ranking
    /// @param wanted number of holders; no more of @p ranked are considered
    void setHolders(const StreamKey &stream, const std::vector<StreamPeer> &ranked, std::size_t wanted);
    /// The streams have to be looked at whose holders change.
    void setAffectedDue(const PeerChanges &changes, TimePoint at);
    /// @return streams that are due, those that have waited longest first; they are due no longer
    std::vector<StreamKey> takeDue(std::size_t most, TimePoint now);
    /// @return when the next stream is due; nothing if none is
    std::optional<TimePoint> nextDueAt() const;

private:
    struct Entry
    {
        std::vector<StreamCopy> copies;
        std::optional<TimePoint> dueAt;
        std::uint64_t lastWeight = std::numeric_limits<std::uint64_t>::max(); // of the holders
    };

    static bool isAffected(const StreamKey &stream, const Entry &entry, const PeerChanges &changes);

    void setDue(const StreamKey &stream, Entry &entry, TimePoint at);
    void eraseDue(const StreamKey &stream, Entry &entry);

    std::map<StreamKey, Entry> m_entries;
    std::set<std::pair<TimePoint, StreamKey>> m_due;
};

} // namespace monsoonward
