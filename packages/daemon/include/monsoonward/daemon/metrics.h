#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief What crossed the regions' link, for its byte counter.
enum class LinkCause { Control, Reservations, Bodies, Answers, Configuration };

/// @brief How one request ended, for the counters by tier.
struct RequestEnd
{
    ServiceName service;
    Tier tier;
    Verdict verdict = Verdict::NotRun;
    std::optional<RefusalReason> reason; ///< nothing when completed
    bool withinDeadline = false;
    Duration total {}; ///< from arrival to the end
    Duration toFirstToken {}; ///< 0: no token came
    MONSOONWARD_FIELDS(service, tier, verdict, reason, withinDeadline, total, toFirstToken)
};

/// @brief The daemon's metrics, in the Prometheus text format at /metrics. Safe to call from any thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void requestEnded(const RequestEnd &end);
    /// @param wasted prompt tokens thrown away or computed again
    void prefilled(const ServiceName &service, std::uint64_t tokens, std::uint64_t cached, std::uint64_t wasted);
    void waiting(const ServiceName &service, Tier tier, std::uint64_t requests);
    void slots(const TargetName &target, std::uint32_t free, std::uint32_t running);
    void linkBytes(LinkCause cause, std::uint64_t bytes);
    void peerBytes(std::uint64_t sent, std::uint64_t received);
    void storeCall(const std::string &call, bool succeeded, Duration length);
    void eventRecorded(Event event);
    void revision(Revision revision);

    /// @return every metric as Prometheus text
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief An event log that also counts each event in the metrics and passes it on.
std::unique_ptr<EventLog> makeCountingEventLog(Metrics &metrics, EventLog &next);

} // namespace monsoonward
