#include "monsoonward/dispatch/enginedirectory.h"

namespace monsoonward
{

void EngineDirectory::storeAnswered(TimePoint now)
{
    if (m_storeUnavailable) {
        m_storeUnavailable = false;
        const bool isKnownBefore = m_answersPeersSince && now - m_answeredPeerAt <= maxSilence;
        m_storeRecoveredAt = isKnownBefore ? *m_answersPeersSince : now;
    }
    recordContact(now);
}

void EngineDirectory::recordContact(TimePoint at)
{
    if (m_lastContactAt && at - *m_lastContactAt > maxSilence) {
        m_silenceEndedAt = at;
    }
    m_lastContactAt = std::max(m_lastContactAt.value_or(at), at);
}

void EngineDirectory::registrationsRead(TimePoint at)
{
    if (m_silenceEndedAt && at >= *m_silenceEndedAt) {
        m_silenceEndedAt.reset();
    }
    recordReading(at);
}

void EngineDirectory::recordReading(TimePoint at)
{
    if (isInStep(at)) {
        m_readAsOf = std::max(at, m_readAsOf.value_or(at));
    }
}

std::optional<TimePoint> EngineDirectory::readAsOf() const
{
    return m_readAsOf;
}

void EngineDirectory::setBehind(std::optional<TimePoint> since)
{
    m_behindSince = since;
}

bool EngineDirectory::mayHaveMissed() const
{
    return m_silenceEndedAt.has_value();
}

bool EngineDirectory::isInStep(TimePoint now) const
{
    const bool isSilent = m_lastContactAt && now - *m_lastContactAt > maxSilence;
    const bool isBehind = m_behindSince && now - *m_behindSince > maxLag;
    return !mayReregister(now) && !mayHaveMissed() && !isSilent && !isBehind;
}

void EngineDirectory::storeReachable(TimePoint at)
{
    recordContact(at);
    recordReading(at);
}

bool EngineDirectory::isVersionCertain(std::optional<TimePoint> connectedSince, TimePoint now) const
{
    return isInStep(now) || isRunProven(connectedSince);
}

bool EngineDirectory::isRunProven(std::optional<TimePoint> connectedSince) const
{
    return connectedSince && m_readAsOf && *connectedSince + registrationDelay <= *m_readAsOf;
}

bool EngineDirectory::isCurrent(TimePoint now) const
{
    return isInStep(now) && m_readAsOf && now - *m_readAsOf <= maxReadingAge;
}

bool EngineDirectory::isRunRegistered(const EngineRecord &engine, TimePoint by) const
{
    const auto *registered = find(engine.name);
    return m_readAsOf && *m_readAsOf >= by && registered != nullptr && registered->incarnation == engine.incarnation
        && registered->service == engine.service && registered->softwareVersion == engine.softwareVersion;
}

void EngineDirectory::storeFailed(TimePoint now)
{
    if (!m_storeUnavailable) {
        m_unavailableSince = now;
        m_answersPeersSince.reset();
    }
    m_storeUnavailable = true;
}

void EngineDirectory::storeAnsweredPeer(TimePoint at)
{
    if (!m_storeUnavailable || at <= m_unavailableSince) {
        return;
    }
    if (!m_answersPeersSince || at - m_answeredPeerAt > maxSilence) {
        m_answersPeersSince = at;
    }
    m_answeredPeerAt = at;
}

bool EngineDirectory::mayReregister(TimePoint now) const
{
    return m_storeUnavailable || (m_storeRecoveredAt && now - *m_storeRecoveredAt < reregistrationTimeout);
}

std::optional<TimePoint> EngineDirectory::uncertainSince(TimePoint now) const
{
    return mayReregister(now) ? std::optional(m_readAsOf.value_or(TimePoint()) - registrationDelay) : std::nullopt;
}

std::vector<EngineName> EngineDirectory::replace(const std::vector<EngineRecord> &records, TimePoint now)
{
    for (const auto &it : records) {
        const auto unconfirmed = unconfirmedUntil(it);
        put(it);
        m_engines[it.name].confirmedAt = unconfirmed; // a list doesn't tell whether the registration was written again
    }
    return removeUnlisted(records, now);
}

std::optional<TimePoint> EngineDirectory::unconfirmedUntil(const EngineRecord &record) const
{
    const auto known = m_engines.find(record.name);
    const bool isSame = known != m_engines.end() && known->second.record.incarnation == record.incarnation;
    return isSame ? known->second.confirmedAt : std::nullopt;
}

std::vector<EngineName> EngineDirectory::replaceAfterRestore(const std::vector<EngineRecord> &records, TimePoint now)
{
    m_storeRecoveredAt = now; // registrations written since the copy was made are missing, too
    for (const auto &it : records) {
        const auto departed = m_departed.find(it.name);
        const bool hasDeparted = departed != m_departed.end() && departed->second.incarnation == it.incarnation;
        const auto known = m_engines.find(it.name);
        const bool wasLeaving = known != m_engines.end() && known->second.record.isLeaving
            && known->second.record.incarnation == it.incarnation;
        const bool wasUnconfirmed = unconfirmedUntil(it).has_value();
        put(it);
        auto &entry = m_engines[it.name];
        entry.record.isLeaving = entry.record.isLeaving || wasLeaving;
        if (hasDeparted || wasUnconfirmed) {
            entry.confirmedAt = now + confirmationTime;
        }
    }
    return removeUnlisted(records, now);
}

std::vector<EngineName> EngineDirectory::removeUnlisted(const std::vector<EngineRecord> &records, TimePoint now)
{
    std::set<EngineName> listed;
    for (const auto &it : records) {
        listed.insert(it.name);
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
    Entry entry {record, std::nullopt, std::nullopt, false};
    const auto known = m_engines.find(record.name);
    if (known != m_engines.end() && known->second.record.incarnation == record.incarnation) {
        const bool wasLeaving = record.incarnation != 0 && known->second.record.isLeaving;
        entry.hasReportedLeaving = known->second.hasReportedLeaving;
        entry.record.isLeaving = record.isLeaving || entry.hasReportedLeaving || wasLeaving;
    }
    const auto departed = m_departed.find(record.name);
    if (departed != m_departed.end()) {
        const bool isSame = record.incarnation != 0 && departed->second.incarnation == record.incarnation;
        entry.record.isLeaving = entry.record.isLeaving || (isSame && departed->second.wasLeaving);
        m_departed.erase(departed);
    }
    m_engines[record.name] = std::move(entry);
}

void EngineDirectory::remove(const EngineName &name, TimePoint now)
{
    const auto it = m_engines.find(name);
    if (it == m_engines.end()) {
        return;
    }
    if (!mayReregister(now) || it->second.record.isLeaving) {
        erase(it, now);
    } else if (!it->second.dropAt) {
        it->second.dropAt = m_storeRecoveredAt.value_or(now) + reregistrationTimeout;
    }
}

void EngineDirectory::erase(std::map<EngineName, Entry>::iterator it, TimePoint now)
{
    m_departed[it->first] = {it->second.record.incarnation, it->second.record.isLeaving, now};
    m_engines.erase(it);
}

bool EngineDirectory::markLeaving(const EngineName &name)
{
    const auto it = m_engines.find(name);
    if (it == m_engines.end() || it->second.hasReportedLeaving) {
        return false;
    }
    it->second.hasReportedLeaving = true;
    it->second.record.isLeaving = true;
    return true;
}

std::vector<EngineName> EngineDirectory::expire(TimePoint now)
{
    for (auto it = m_departed.begin(); it != m_departed.end();) {
        it = now - it->second.at >= departureMemory ? m_departed.erase(it) : std::next(it);
    }
    std::vector<EngineName> dropped;
    for (auto it = m_engines.begin(); it != m_engines.end();) {
        const auto entry = it++;
        if (entry->second.confirmedAt && now >= *entry->second.confirmedAt) {
            entry->second.confirmedAt.reset();
        }
        if (entry->second.dropAt && now >= *entry->second.dropAt) {
            dropped.push_back(entry->first);
            erase(entry, now);
        }
    }
    return dropped;
}

const EngineRecord *EngineDirectory::find(const EngineName &name) const
{
    const auto it = m_engines.find(name);
    return it == m_engines.end() ? nullptr : &it->second.record;
}

bool EngineDirectory::mayReceive(const Entry &entry)
{
    return !entry.record.isLeaving && !entry.confirmedAt;
}

bool EngineDirectory::mayReceive(const EngineName &name) const
{
    const auto it = m_engines.find(name);
    return it != m_engines.end() && mayReceive(it->second);
}

std::set<EngineName> EngineDirectory::selfReportedLeaving() const
{
    std::set<EngineName> names;
    for (const auto &it : m_engines) {
        if (it.second.hasReportedLeaving) {
            names.insert(it.first);
        }
    }
    return names;
}

std::vector<const EngineRecord *> EngineDirectory::ofService(const ServiceName &service) const
{
    std::vector<const EngineRecord *> engines;
    for (const auto &it : m_engines) {
        const auto &record = it.second.record;
        if (record.service == service && mayReceive(it.second)) {
            engines.push_back(&record);
        }
    }
    return engines;
}

std::vector<const EngineRecord *> EngineDirectory::all() const
{
    std::vector<const EngineRecord *> engines;
    for (const auto &it : m_engines) {
        engines.push_back(&it.second.record);
    }
    return engines;
}

std::size_t EngineDirectory::size() const
{
    return m_engines.size();
}

} // namespace monsoonward
