#pragma once

#include <monsoonward/values/values.h>

#include <condition_variable>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace monsoonward
{

/// @brief One field of a log record.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// @return the duration in whole milliseconds, for log fields
std::int64_t milliseconds(Duration duration);

/// @brief Level and rate limits of a structured log.
struct LogLimits
{
    std::string level = "info"; ///< minimum severity that is written: info, warning or error
    std::size_t maxQueuedBytes =
        std::size_t {256} * 1024; ///< records beyond this are dropped while standard output blocks
    std::size_t maxBytesPerSecond =
        std::size_t {256} * 1024; ///< info records beyond this are dropped; warnings and errors are exempt
    MONSOONWARD_FIELDS(level, maxQueuedBytes, maxBytesPerSecond)
};

/// @brief Writes log records to standard output as JSON lines: time, host, process incarnation, severity, event number,
/// event name and event-specific fields. A background thread writes them, so that recording never blocks. Dropped
/// records are counted and reported.
class StructuredLog : public EventLog
{
public:
    StructuredLog(LogLimits limits, const HostName &host, std::uint64_t incarnation);
    ~StructuredLog() override;
    StructuredLog(const StructuredLog &) = delete;
    StructuredLog &operator=(const StructuredLog &) = delete;

    void record(Event event, Severity severity, const std::string &text) override;
    /// @param eventName short description of the event, constant for each call site
    void write(Event event, Severity severity, std::string_view eventName, std::initializer_list<LogField> fields);
    /// @return whether info records are written
    bool writesInfo() const;
    /// @return number of records dropped so far
    std::uint64_t dropped() const;

private:
    bool isWithinLimits(Severity severity, std::size_t size);
    void writeQueuedLines();

    LogLimits m_limits;
    std::string m_prefix; // host and incarnation as JSON fields
    Severity m_minSeverity;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeWriter;
    std::vector<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDrops = 0;
    std::int64_t m_currentSecond = 0;
    std::size_t m_bytesThisSecond = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace monsoonward
