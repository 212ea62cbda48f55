#include "monsoonward/dispatch/streamtable.h"

#include "monsoonward/dispatch/texthash.h"

#include <xxhash.h>

namespace monsoonward
{

StreamKey streamKeyOf(std::string_view request, std::string_view customer)
{
    const auto hash = XXH3_128bits_withSeed(request.data(), request.size(), hashOf(customer));
    return {hash.high64, hash.low64};
}

StreamTable::StreamTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<StreamKey>
StreamTable::record(const StreamKey &stream, const StreamOrigin &origin, EngineRun run, TimePoint now)
{
    const auto known = m_streams.find(stream);
    if (known != m_streams.end()) {
        auto &entry = known->second;
        const bool isSame = entry.origin.build == origin.build;
        entry.origin.isDoubtful = entry.origin.isDoubtful || origin.isDoubtful || !isSame;
        if (origin.expiresAt > entry.origin.expiresAt) {
            m_byExpiry.erase({entry.origin.expiresAt, stream});
            entry.origin.expiresAt = origin.expiresAt;
            m_byExpiry.insert({origin.expiresAt, stream});
        }
        return std::nullopt;
    }
    if (origin.expiresAt <= now) {
        return std::nullopt;
    }
    std::optional<StreamKey> dropped;
    if (m_streams.size() >= m_capacity) {
        dropped = m_byExpiry.begin()->second;
        erase(m_streams.find(*dropped));
        ++m_dropped;
    }
    m_streams[stream] = {origin, run, now};
    m_byExpiry.insert({origin.expiresAt, stream});
    return dropped;
}

std::vector<StreamKey> StreamTable::doubt(EngineRun run, TimePoint since)
{
    std::vector<StreamKey> doubted;
    for (auto &[stream, entry] : m_streams) {
        if (entry.run == run && entry.recordedAt >= since && !entry.origin.isDoubtful) {
            entry.origin.isDoubtful = true;
            doubted.push_back(stream);
        }
    }
    return doubted;
}

std::optional<StreamOrigin> StreamTable::find(const StreamKey &stream, TimePoint now) const
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end() || it->second.origin.expiresAt <= now) {
        return std::nullopt;
    }
    return it->second.origin;
}

std::vector<StreamKey> StreamTable::expire(TimePoint now)
{
    std::vector<StreamKey> expired;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        expired.push_back(m_byExpiry.begin()->second);
        erase(m_streams.find(expired.back()));
    }
    return expired;
}

void StreamTable::erase(std::unordered_map<StreamKey, Entry, Hash>::iterator it)
{
    m_byExpiry.erase({it->second.origin.expiresAt, it->first});
    m_streams.erase(it);
}

std::size_t StreamTable::size() const
{
    return m_streams.size();
}

std::uint64_t StreamTable::dropped() const
{
    return m_dropped;
}

} // namespace monsoonward
