#pragma once

#include <monsoonward/policy/policy.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace monsoonward
{

/// @brief Sends what one entry saw to the others.
class SuspectsOutput
{
public:
    virtual ~SuspectsOutput() = default;
    virtual void broadcast(const SuspectNotice &notice) = 0;
    virtual void sendTo(const Peer &to, const SuspectNotice &notice) = 0;
};

enum class SuspicionLevel {
    Clear,
    Suspect, ///< in progress at one crash; runs isolated
    Refused, ///< in progress at two crashes or more
};

/// @brief Remembers the fingerprints of requests that were in progress when a target or engine crashed, and lets
/// suspects run one at a time for each service. Counts are kept for each entry that saw crashes, so that a repeated or
/// relayed notice adds nothing.
class Suspects
{
public:
    Suspects(const Incarnation &own, const Clock &clock, SuspectsOutput &output, EventLog &events);

    /// A fingerprint of 0 stands for none and is never suspected.
    void crashObserved(const RequestSpec &spec);
    void onNotice(const SuspectNotice &notice);
    /// The request ran whole: it was a bystander.
    void clear(Fingerprint fingerprint);
    void entryUp(const Peer &peer);
    SuspicionLevel suspicionLevel(Fingerprint fingerprint) const;
    /// @return how long the suspicion lasts
    Duration expiresIn(Fingerprint fingerprint) const;

    /// Puts a suspect request into the queue for an isolated run.
    void enqueue(const RequestSpec &spec);
    /// The request has ended, or needs no isolation any more.
    void remove(const RequestId &id);
    /// @return requests whose isolated run begins now
    std::vector<RequestId> tick();
    std::size_t size() const;

private:
    struct Suspect
    {
        ServiceName service;
        std::map<Incarnation, std::uint32_t> crashes; // by the entry that saw them
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
