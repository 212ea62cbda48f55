#pragma once

#include <monsoonward/values/values.h>

#include <map>
#include <memory>
#include <optional>

namespace monsoonward
{

/// @brief A run of an engine that this daemon is connected to.
struct ConnectedRun
{
    TimePoint since; ///< it has answered since then
    TimePoint registeredBy; ///< registrations read at this time or later contain it
    MONSOONWARD_FIELDS(since, registeredBy)
};

/// @brief Tells since when this daemon has been connected to an engine without a break.
///
/// An engine that starts again ends its connections. As long as one that it hasn't ended is open, the same run answers,
/// also on connections that are opened meanwhile.
class EngineContinuity
{
public:
    /// Held by each open connection.
    using Ticket = std::shared_ptr<const ConnectedRun>;

    /// Bytes that arrive this long after the end of another connection were sent after that end.
    static constexpr Duration deliveryTime = std::chrono::milliseconds(100);

    /// A connection to the engine was opened.
    Ticket connectionOpened(const EngineName &engine, TimePoint now);
    /// The engine ended or refused a connection: it may have started again.
    void connectionEnded(const EngineName &engine, TimePoint now);
    /// The engine sent bytes on a connection. If that was opened before the engine ended another one, it is the same
    /// run nevertheless.
    void bytesReceived(const EngineName &engine, const Ticket &ticket, TimePoint now);
    /// @return since when one run of the engine has answered; nothing if no connection is open, or if the engine has
    /// ended one since the last one was opened
    std::optional<TimePoint> connectedSince(const EngineName &engine) const;
    /// @param readAsOf of the registrations
    /// @return whether the engine may have started again so recently that its registration hasn't been read
    bool mayHaveStartedAgain(const EngineName &engine, std::optional<TimePoint> readAsOf) const;
    /// The engine isn't registered any more.
    void forget(const EngineName &engine);

private:
    struct Ending
    {
        TimePoint at; // of the last connection that the engine ended
        std::weak_ptr<const ConnectedRun> former; // the run that it may have ended
    };

    std::map<EngineName, std::weak_ptr<const ConnectedRun>> m_runs;
    std::map<EngineName, Ending> m_endings;
};

} // namespace monsoonward
