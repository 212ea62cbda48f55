#pragma once

#include <monsoonward/values/values.h>

#include <map>
#include <memory>
#include <optional>

namespace monsoonward
{

/// @brief Tells since when this daemon has been connected to an engine without a break.
///
/// An engine that starts again ends its connections. As long as one that it hasn't ended is open, the same run answers,
/// also on connections that are opened meanwhile.
class EngineContinuity
{
public:
    /// Held by each open connection: since when one has been open.
    using Ticket = std::shared_ptr<const TimePoint>;

    /// A connection to the engine was opened.
    Ticket connectionOpened(const EngineName &engine, TimePoint now);
    /// The engine ended or refused a connection: it may have started again.
    void connectionEnded(const EngineName &engine);
    /// @return since when one run of the engine has answered; nothing if no connection is open, or if the engine has
    /// ended one since the last one was opened
    std::optional<TimePoint> connectedSince(const EngineName &engine) const;

private:
    std::map<EngineName, std::weak_ptr<const TimePoint>> m_since;
};

} // namespace monsoonward
