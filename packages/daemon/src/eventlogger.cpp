#include "monsoonward/daemon/eventlogger.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace monsoonward
{

namespace
{

constexpr bool toStandardError = true;
constexpr bool flushEachLine = true;

log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

Severity parseSeverity(const std::string &level)
{
    if (level == "error") {
        return Severity::Error;
    }
    return level == "warning" ? Severity::Warning : Severity::Info;
}

/// @return the text with control characters replaced by blanks, so that it can't forge log lines
std::string oneLine(std::string text)
{
    for (auto &it : text) {
        if (static_cast<unsigned char>(it) < 0x20 || it == 0x7f) {
            it = ' ';
        }
    }
    return text;
}

class EventLogger : public EventLog
{
public:
    explicit EventLogger(const std::string &level)
        : m_logger(log4cplus::Logger::getInstance("monsoonward"))
    {
        log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
        m_logger.removeAllAppenders();
        m_logger.addAppender(appender);
        m_logger.setLogLevel(levelOf(parseSeverity(level)));
    }

    void record(Event event, Severity severity, const std::string &text) override
    {
        const auto level = levelOf(severity);
        if (m_logger.isEnabledFor(level)) {
            m_logger.log(level, "E" + std::to_string(static_cast<int>(event)) + " " + oneLine(text));
        }
    }

private:
    log4cplus::Initializer m_initializer;
    log4cplus::Logger m_logger;
};

} // namespace

std::unique_ptr<EventLog> makeEventLogger(const std::string &level)
{
    return std::make_unique<EventLogger>(level);
}

} // namespace monsoonward
