#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief Kinds of traffic between regions, for the byte counter.
enum class LinkCause { Control, Reservations, Bodies, Answers, Configuration };

/// @brief How a request ended, for the metrics by service and tier.
struct RequestEnd
{
    ServiceName service;
    Tier tier;
    Verdict verdict = Verdict::NotRun;
    std::optional<RefusalReason> reason; ///< empty if the request completed
    bool withinDeadline = false;
    Duration total {}; ///< from arrival to the end of the answer
    Duration toFirstToken {}; ///< from arrival to the first byte of the answer; 0 if there was none
    MONSOONWARD_FIELDS(service, tier, verdict, reason, withinDeadline, total, toFirstToken)
};

/// @brief The daemon's Prometheus metrics. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void recordRequestEnd(const RequestEnd &end);
    /// @param wasted prompt tokens that were discarded or computed again
    void addPrefillTokens(const ServiceName &service, std::uint64_t tokens, std::uint64_t cached, std::uint64_t wasted);
    void setWaitingRequests(const ServiceName &service, Tier tier, std::uint64_t requests);
    void setSlots(const TargetName &target, std::uint32_t free, std::uint32_t running);
    void addLinkBytes(LinkCause cause, std::uint64_t bytes);
    void addPeerBytes(std::uint64_t sent, std::uint64_t received);
    void recordStoreCall(const std::string &call, bool succeeded, Duration duration);
    void countEvent(Event event);
    void setRevision(Revision revision);

    /// @return all metrics in the Prometheus text format
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief Makes an event log that counts each event in the metrics and forwards it to @p next.
std::unique_ptr<EventLog> makeCountingEventLog(Metrics &metrics, EventLog &next);

} // namespace monsoonward
