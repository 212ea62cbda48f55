#include "monsoonward/dispatch/enginedirectory.h"

#include <set>

namespace monsoonward
{

void EngineDirectory::storeAnswered(TimePoint now)
{
    if (m_storeAway) {
        m_storeAway = false;
        m_storeReturned = now;
    }
}

void EngineDirectory::storeFailed()
{
    m_storeAway = true;
}

bool EngineDirectory::mayReturn(TimePoint now) const
{
    return m_storeAway || (m_storeReturned && now - *m_storeReturned < returnBound);
}

std::vector<EngineName> EngineDirectory::replace(const std::vector<EngineRecord> &records, TimePoint now)
{
    std::set<EngineName> listed;
    for (const auto &it : records) {
        listed.insert(it.name);
        put(it);
    }
    std::vector<EngineName> missing;
    for (const auto &it : m_engines) {
        if (listed.count(it.first) == 0) {
            missing.push_back(it.first);
        }
    }
    std::vector<EngineName> gone;
    for (const auto &it : missing) {
        remove(it, now);
        if (find(it) == nullptr) {
            gone.push_back(it);
        }
    }
    return gone;
}

void EngineDirectory::put(const EngineRecord &record)
{
    m_engines[record.name] = {record, std::nullopt};
}

void EngineDirectory::remove(const EngineName &name, TimePoint now)
{
    const auto it = m_engines.find(name);
    if (it == m_engines.end()) {
        return;
    }
    if (!mayReturn(now) || it->second.record.isLeaving) {
        m_engines.erase(it);
    } else if (!it->second.goneAt) {
        it->second.goneAt = m_storeReturned.value_or(now) + returnBound;
    }
}

std::vector<EngineName> EngineDirectory::expire(TimePoint now)
{
    std::vector<EngineName> gone;
    for (auto it = m_engines.begin(); it != m_engines.end();) {
        if (it->second.goneAt && now >= *it->second.goneAt) {
            gone.push_back(it->first);
            it = m_engines.erase(it);
        } else {
            ++it;
        }
    }
    return gone;
}

const EngineRecord *EngineDirectory::find(const EngineName &name) const
{
    const auto it = m_engines.find(name);
    return it == m_engines.end() ? nullptr : &it->second.record;
}

std::vector<const EngineRecord *> EngineDirectory::ofService(const ServiceName &service) const
{
    std::vector<const EngineRecord *> engines;
    for (const auto &it : m_engines) {
        const auto &record = it.second.record;
        if (record.service == service && !record.isLeaving) {
            engines.push_back(&record);
        }
    }
    return engines;
}

std::size_t EngineDirectory::size() const
{
    return m_engines.size();
}

} // namespace monsoonward
