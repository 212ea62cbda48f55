#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief Writes events as lines to standard error through log4cplus: time, severity, number, text.
///
///     const auto log = makeEventLogger("info");
///     log->record(Event::DaemonStarted, Severity::Info, "host e1");
///
/// @param level least severity that is written: info, warning or error
std::unique_ptr<EventLog> makeEventLogger(const std::string &level);

} // namespace monsoonward
