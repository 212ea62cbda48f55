#include "monsoonward/dispatch/enginedirectory.h"

#include <set>

namespace monsoonward
{

void EngineDirectory::storeAnswered(TimePoint now)
{
    if (m_storeUnavailable) {
        m_storeUnavailable = false;
        m_storeRecoveredAt = now;
    }
}

void EngineDirectory::storeFailed()
{
    m_storeUnavailable = true;
}

bool EngineDirectory::mayReregister(TimePoint now) const
{
    return m_storeUnavailable || (m_storeRecoveredAt && now - *m_storeRecoveredAt < reregistrationTimeout);
}

std::vector<EngineName> EngineDirectory::replace(const std::vector<EngineRecord> &records, TimePoint now)
{
    std::set<EngineName> listed;
    for (const auto &it : records) {
        listed.insert(it.name);
        put(it);
    }
    std::vector<EngineName> unlisted;
    for (const auto &it : m_engines) {
        if (listed.count(it.first) == 0) {
            unlisted.push_back(it.first);
        }
    }
    std::vector<EngineName> dropped;
    for (const auto &it : unlisted) {
        remove(it, now);
        if (find(it) == nullptr) {
            dropped.push_back(it);
        }
    }
    return dropped;
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
    if (!mayReregister(now) || it->second.record.isLeaving) {
        m_engines.erase(it);
    } else if (!it->second.dropAt) {
        it->second.dropAt = m_storeRecoveredAt.value_or(now) + reregistrationTimeout;
    }
}

std::vector<EngineName> EngineDirectory::expire(TimePoint now)
{
    std::vector<EngineName> dropped;
    for (auto it = m_engines.begin(); it != m_engines.end();) {
        if (it->second.dropAt && now >= *it->second.dropAt) {
            dropped.push_back(it->first);
            it = m_engines.erase(it);
        } else {
            ++it;
        }
    }
    return dropped;
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
