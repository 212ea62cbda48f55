#pragma once

#include <monsoonward/policy/policy.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace monsoonward
{

/// @brief Sends notices of suspects to the other entries.
class SuspectsOutput
{
public:
    virtual ~SuspectsOutput() = default;
    virtual void broadcast(const SuspectNotice &notice) = 0;
    virtual void sendTo(const Peer &to, const SuspectNotice &notice) = 0;
};

enum class SuspicionLevel {
    Clear,
    Suspect, ///< was in progress at one crash; may only run isolated
    Refused, ///< was in progress at two or more crashes; must not run
};

/// @brief Keeps the fingerprints of requests that were in progress when a target daemon or engine crashed, and lets
/// suspects of a service run only one at a time. Each entry that observed crashes has a count of its own, so that
/// repeated or relayed notices don't count twice; the level depends on the sum of the counts.
class Suspects
{
public:
    Suspects(const Incarnation &own, const Clock &clock, SuspectsOutput &output, EventLog &events);

    /// The request was in progress at a crash. The fingerprint 0 means none and is never suspected.
    void onCrashObserved(const RequestSpec &spec);
    void onNotice(const SuspectNotice &notice);
    /// A suspect has completed an isolated run, so it didn't cause the crash. Clears it here and at the other entries.
    void clear(Fingerprint fingerprint);
    /// Sends all notices to an entry that has just connected.
    void onEntryUp(const Peer &peer);
    SuspicionLevel suspicionLevel(Fingerprint fingerprint) const;
    /// @return the time until the suspicion expires
    Duration expiresIn(Fingerprint fingerprint) const;

    /// Adds a suspect request to the queue for isolated runs.
    void enqueue(const RequestSpec &spec);
    /// Removes a request that has ended or needs no isolated run any more.
    void remove(const RequestId &id);
    /// Drops expired suspicions. @return requests whose isolated run may start now
    std::vector<RequestId> tick();
    /// @return the number of suspected fingerprints
    std::size_t size() const;

private:
    struct Suspect
    {
        ServiceName service;
        std::map<Incarnation, std::uint32_t> crashes; // number of crashes by the entry that observed them
        TimePoint expiresAt {};
    };
    struct QueuedRun
    {
        RequestId id;
        ServiceName service;
        TimePoint notBefore {};
    };

    void recordCrashes(const SuspectNotice &notice);
    SuspectNotice makeNotice(Fingerprint fingerprint, const Suspect &suspect, const Incarnation &observer) const;

    Incarnation m_own;
    const Clock &m_clock;
    SuspectsOutput &m_output;
    EventLog &m_events;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    std::deque<QueuedRun> m_queue;
    std::map<ServiceName, RequestId> m_runningByService;
};

} // namespace monsoonward
