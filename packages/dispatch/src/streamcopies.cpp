#include "monsoonward/dispatch/streamcopies.h"

#include <algorithm>

namespace monsoonward
{

std::vector<StreamCopy> &StreamCopies::of(const StreamKey &stream)
{
    return m_entries[stream].copies;
}

StreamCopy *StreamCopies::find(std::vector<StreamCopy> &copies, DaemonRun run)
{
    const auto it = std::find_if(copies.begin(), copies.end(), [&](const StreamCopy &copy) { return copy.run == run; });
    return it == copies.end() ? nullptr : &*it;
}

void StreamCopies::forget(const StreamKey &stream)
{
    const auto it = m_entries.find(stream);
    if (it == m_entries.end()) {
        return;
    }
    eraseDue(stream, it->second);
    m_entries.erase(it);
}

void StreamCopies::eraseDue(const StreamKey &stream, Entry &entry)
{
    if (entry.dueAt) {
        m_due.erase({*entry.dueAt, stream});
        entry.dueAt.reset();
    }
}

void StreamCopies::clearDue(const StreamKey &stream, TimePoint now)
{
    const auto it = m_entries.find(stream);
    if (it != m_entries.end() && it->second.dueAt && *it->second.dueAt > now) {
        eraseDue(stream, it->second);
    }
}

void StreamCopies::setDue(const StreamKey &stream, TimePoint at)
{
    setDue(stream, m_entries[stream], at);
}

void StreamCopies::setDue(const StreamKey &stream, Entry &entry, TimePoint at)
{
    if (entry.dueAt && *entry.dueAt <= at) {
        return;
    }
    eraseDue(stream, entry);
    entry.dueAt = at;
    m_due.insert({at, stream});
}

void StreamCopies::setAllDue(TimePoint at)
{
    for (auto &[stream, entry] : m_entries) {
        setDue(stream, entry, at);
    }
}

void StreamCopies::setHolders(const StreamKey &stream, const std::vector<StreamPeer> &ranked, std::size_t wanted)
{
    auto &last = m_entries[stream].lastWeight;
    last = ranked.size() < wanted ? std::numeric_limits<std::uint64_t>::max() : 0;
    for (std::size_t n = 0; n < std::min(wanted, ranked.size()); ++n) {
        last = std::max(last, StreamRanking::weight(stream, ranked[n])); // those that are silent may have low ones
    }
}

bool StreamCopies::isAffected(const StreamKey &stream, const Entry &entry, const PeerChanges &changes)
{
    const auto isRemoved = [&](const StreamCopy &copy) {
        return std::find(changes.removed.begin(), changes.removed.end(), copy.run) != changes.removed.end();
    };
    return std::any_of(entry.copies.begin(), entry.copies.end(), isRemoved)
        || std::any_of(changes.added.begin(), changes.added.end(), [&](const StreamPeer &it) {
               return StreamRanking::weight(stream, it) <= entry.lastWeight;
           });
}

void StreamCopies::setAffectedDue(const PeerChanges &changes, TimePoint at)
{
    for (auto &[stream, entry] : m_entries) {
        if (isAffected(stream, entry, changes)) {
            setDue(stream, entry, at);
        }
    }
}

std::vector<StreamKey> StreamCopies::takeDue(std::size_t most, TimePoint now)
{
    std::vector<StreamKey> due;
    while (due.size() < most && !m_due.empty() && m_due.begin()->first <= now) {
        due.push_back(m_due.begin()->second);
        m_entries[due.back()].dueAt.reset();
        m_due.erase(m_due.begin());
    }
    return due;
}

std::optional<TimePoint> StreamCopies::nextDueAt() const
{
    return m_due.empty() ? std::nullopt : std::optional(m_due.begin()->first);
}

} // namespace monsoonward
