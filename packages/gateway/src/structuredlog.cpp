#include "structuredlog.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <charconv>
#include <cstdio>
#include <iostream>

namespace monsoonward
{

namespace
{

constexpr auto writeInterval = std::chrono::milliseconds(50); // a killed process may lose the lines of this interval
constexpr std::size_t maxFieldBytes = 400; // maximum length of one string; longer ones are truncated

std::string_view nameOf(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        break;
    }
    return "error";
}

Severity severityNamed(const std::string &level)
{
    return level == "error" ? Severity::Error : level == "warning" ? Severity::Warning : Severity::Info;
}

void appendString(std::string &line, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char lastAscii = 0x7e;
    line += '"';
    for (const char it : text.substr(0, maxFieldBytes)) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte < firstPrintable || byte > lastAscii) {
            line += '?'; // callers control some of these bytes; the line must stay valid JSON in any encoding
        } else if (it == '"' || it == '\\') {
            line += '\\';
            line += it;
        } else {
            line += it;
        }
    }
    line += '"';
}

template<class Number>
void appendNumber(std::string &line, Number n)
{
    char buf[32];
    const auto end = std::to_chars(buf, buf + sizeof buf, n).ptr;
    line.append(buf, end);
}

void appendValue(std::string &line, const LogField &field)
{
    if (const auto *text = std::get_if<std::string_view>(&field.value)) {
        appendString(line, *text);
    } else if (const auto *whole = std::get_if<std::int64_t>(&field.value)) {
        appendNumber(line, *whole);
    } else if (const auto *number = std::get_if<double>(&field.value)) {
        constexpr double thousandths = 1000;
        appendNumber(line, static_cast<double>(static_cast<std::int64_t>(*number * thousandths)) / thousandths);
    } else {
        line += std::get<bool>(field.value) ? "true" : "false";
    }
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

StructuredLog::StructuredLog(LogLimits limits, const HostName &host, std::uint64_t incarnation)
    : m_limits(std::move(limits))
    , m_minSeverity(severityNamed(m_limits.level))
{
    m_prefix = ",\"host\":";
    appendString(m_prefix, host.text());
    m_prefix += ",\"life\":";
    appendNumber(m_prefix, incarnation);
    m_thread = std::thread([this] { writeQueuedLines(); });
}

StructuredLog::~StructuredLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeWriter.notify_one();
    m_thread.join();
}

void StructuredLog::record(Event event, Severity severity, const std::string &text)
{
    write(event, severity, "event", {{"text", text}});
}

void StructuredLog::write(Event event,
                          Severity severity,
                          std::string_view eventName,
                          std::initializer_list<LogField> fields)
{
    if (severity < m_minSeverity) {
        return;
    }
    constexpr std::size_t typicalLineBytes = 320;
    std::string line;
    line.reserve(typicalLineBytes);
    line += "{\"time\":";
    appendNumber(line, unixMilliseconds());
    line += m_prefix;
    line += ",\"severity\":\"";
    line += nameOf(severity);
    line += "\",\"event\":";
    appendNumber(line, static_cast<int>(event));
    line += ",\"what\":";
    appendString(line, eventName);
    for (const auto &it : fields) {
        line += ",\"";
        line += it.name;
        line += "\":";
        appendValue(line, it);
    }
    line += '}';
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        if (!isWithinLimits(severity, line.size())) {
            ++m_dropped;
            return;
        }
        wasEmpty = m_queue.empty();
        m_queuedBytes += line.size();
        m_queue.push_back(std::move(line));
    }
    if (wasEmpty) {
        m_wakeWriter.notify_one();
    }
}

bool StructuredLog::isWithinLimits(Severity severity, std::size_t size)
{
    if (m_queuedBytes + size > m_limits.maxQueuedBytes) {
        return false;
    }
    constexpr std::int64_t msPerSecond = 1000;
    const auto second = unixMilliseconds() / msPerSecond;
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_bytesThisSecond = 0;
    }
    if (severity == Severity::Info && m_bytesThisSecond + size > m_limits.maxBytesPerSecond) {
        return false;
    }
    m_bytesThisSecond += size;
    return true;
}

bool StructuredLog::writesInfo() const
{
    return m_minSeverity == Severity::Info;
}

std::uint64_t StructuredLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void StructuredLog::writeQueuedLines()
{
    constexpr bool logToStandardError = false;
    constexpr bool flushEachLine = false;
    static const log4cplus::Initializer initializer; // static: log4cplus can't be initialized again after its shutdown
    auto logger = log4cplus::Logger::getInstance("monsoonward.gateway");
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(logToStandardError, flushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeWriter.wait(lock, [this] { return !m_queue.empty() || m_isStopping; });
        if (!m_isStopping) {
            m_wakeWriter.wait_for(lock, writeInterval, [this] { return m_isStopping; });
        }
        std::vector<std::string> lines;
        lines.swap(m_queue);
        m_queuedBytes = 0;
        const auto dropped = m_dropped - m_reportedDrops;
        m_reportedDrops = m_dropped;
        const bool stopping = m_isStopping;
        lock.unlock();
        for (const auto &it : lines) {
            logger.log(log4cplus::INFO_LOG_LEVEL, it);
        }
        if (dropped != 0) {
            std::string line = "{\"time\":" + std::to_string(unixMilliseconds()) + m_prefix
                + R"(,"severity":"warning","event":)" + std::to_string(static_cast<int>(Event::LogRecordsDropped))
                + R"(,"what":"log-records-dropped","count":)" + std::to_string(dropped) + "}";
            logger.log(log4cplus::WARN_LOG_LEVEL, line);
        }
        std::fflush(stdout);
        std::cout.flush();
        lock.lock();
        if (stopping) {
            return;
        }
    }
}

} // namespace monsoonward
