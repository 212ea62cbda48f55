#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief Makes an event log that writes to standard error with log4cplus, one line per event: time, severity, event
/// number and text.
///
///     const auto log = makeEventLogger("info");
///     log->record(Event::DaemonStarted, Severity::Info, "host e1");
///
/// @param level minimum severity to log: info, warning or error
std::unique_ptr<EventLog> makeEventLogger(const std::string &level);

} // namespace monsoonward
