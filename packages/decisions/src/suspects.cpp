#include "suspects.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration suspicionLifetime = std::chrono::minutes(10);
constexpr Duration isolationDelay = std::chrono::milliseconds(300); // longer than a notice takes to reach other regions
constexpr std::uint32_t crashesToRefuse = 2;
constexpr std::size_t maxSuspects = 10000;

} // namespace

Suspects::Suspects(const Incarnation &own, const Clock &clock, SuspectsOutput &output, EventLog &events)
    : m_own(own)
    , m_clock(clock)
    , m_output(output)
    , m_events(events)
{
}

void Suspects::onCrashObserved(const RequestSpec &spec)
{
    if (spec.fingerprint == 0) {
        return;
    }
    const auto it = m_suspects.find(spec.fingerprint);
    std::uint32_t crashes = 1;
    if (it != m_suspects.end()) {
        const auto ownCrashes = it->second.crashes.find(m_own);
        crashes += ownCrashes == it->second.crashes.end() ? 0 : ownCrashes->second;
    }
    const SuspectNotice notice {spec.fingerprint, spec.service, crashes, suspicionLifetime, m_own};
    recordCrashes(notice);
    m_output.broadcast(notice);
}

void Suspects::onNotice(const SuspectNotice &notice)
{
    if (notice.crashes == 0) {
        m_suspects.erase(notice.fingerprint);
    } else if (notice.observer != m_own) {
        recordCrashes(notice);
    }
}

void Suspects::clear(Fingerprint fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || suspicionLevel(fingerprint) != SuspicionLevel::Suspect) {
        return;
    }
    const SuspectNotice notice {fingerprint, it->second.service, 0, {}, m_own};
    m_suspects.erase(it);
    m_events.record(Event::SuspectCleared, Severity::Info, "fingerprint " + std::to_string(fingerprint));
    m_output.broadcast(notice);
}

void Suspects::onEntryUp(const Peer &peer)
{
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const auto &[observer, crashes] : suspect.crashes) {
            m_output.sendTo(peer, makeNotice(fingerprint, suspect, observer));
        }
    }
}

SuspicionLevel Suspects::suspicionLevel(Fingerprint fingerprint) const
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || it->second.expiresAt <= m_clock.now()) {
        return SuspicionLevel::Clear;
    }
    std::uint32_t crashes = 0;
    for (const auto &[observer, count] : it->second.crashes) {
        crashes += count;
    }
    return crashes >= crashesToRefuse ? SuspicionLevel::Refused : SuspicionLevel::Suspect;
}

Duration Suspects::expiresIn(Fingerprint fingerprint) const
{
    const auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() ? Duration {} : std::max(Duration {}, it->second.expiresAt - m_clock.now());
}

void Suspects::enqueue(const RequestSpec &spec)
{
    remove(spec.id);
    m_queue.push_back({spec.id, spec.service, m_clock.now() + isolationDelay});
}

void Suspects::remove(const RequestId &id)
{
    m_queue.erase(std::remove_if(m_queue.begin(), m_queue.end(), [&](const QueuedRun &it) { return it.id == id; }),
                  m_queue.end());
    for (auto it = m_runningByService.begin(); it != m_runningByService.end();) {
        it = it->second == id ? m_runningByService.erase(it) : std::next(it);
    }
}

std::vector<RequestId> Suspects::tick()
{
    const auto now = m_clock.now();
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        it = it->second.expiresAt <= now ? m_suspects.erase(it) : std::next(it);
    }
    std::vector<RequestId> started;
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        if (it->notBefore > now || m_runningByService.count(it->service) != 0) {
            ++it;
            continue;
        }
        m_runningByService[it->service] = it->id;
        started.push_back(it->id);
        it = m_queue.erase(it);
    }
    return started;
}

std::size_t Suspects::size() const
{
    return m_suspects.size();
}

void Suspects::recordCrashes(const SuspectNotice &notice)
{
    if (m_suspects.size() >= maxSuspects && m_suspects.count(notice.fingerprint) == 0) {
        m_suspects.erase(m_suspects.begin());
    }
    auto &suspect = m_suspects[notice.fingerprint];
    suspect.service = notice.service;
    auto &crashes = suspect.crashes[notice.observer];
    if (notice.crashes <= crashes) {
        return;
    }
    crashes = notice.crashes;
    suspect.expiresAt = std::max(suspect.expiresAt, m_clock.now() + std::min(notice.expiresIn, suspicionLifetime));
    m_events.record(Event::SuspectRecorded,
                    Severity::Warning,
                    "service \"" + notice.service.text() + "\" fingerprint " + std::to_string(notice.fingerprint));
}

SuspectNotice Suspects::makeNotice(Fingerprint fingerprint, const Suspect &suspect, const Incarnation &observer) const
{
    return {fingerprint, suspect.service, suspect.crashes.at(observer), expiresIn(fingerprint), observer};
}

} // namespace monsoonward
