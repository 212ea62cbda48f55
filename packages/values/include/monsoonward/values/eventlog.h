#pragma once

#include <string>

/// Numbered log events for operators, documented in docs/EVENTS.md.
namespace monsoonward
{

/// @brief Number of a log event. Numbers are stable: they are never changed and never reused.
enum class Event : int {
    // 1000: daemon and its supervisor
    DaemonStarted = 1001,
    DaemonStopping = 1002,
    DaemonStopped = 1003,
    ChildRestarted = 1004,
    InvariantViolated = 1005,
    PeerRefused = 1006,
    ChildFailed = 1007,
    EngineUnreachable = 1008,
    EngineReachable = 1009,
    EngineAnswerBroken = 1010,
    SettingsReloaded = 1011,
    SettingsRejected = 1012,
    LogRecordsDropped = 1013,
    EventLoopDelayed = 1014,
    // 2000: request hand-over, membership, idempotency keys, suspected requests, leases
    PeerUp = 2001,
    PeerDown = 2002,
    RequestLost = 2003,
    PeerSilent = 2004,
    PeerHeardAgain = 2005,
    PeerHeldOff = 2006,
    ObserverInDoubt = 2007,
    ObserverSure = 2008,
    RetryBudgetSpent = 2009,
    ClaimGivenUp = 2010,
    KeyTakenOver = 2101,
    KeyStoreUnavailable = 2102,
    SuspectRecorded = 2201,
    SuspectRefused = 2202,
    SuspectCleared = 2203,
    SuspectProbed = 2204,
    LeaseAcquired = 2301,
    LeaseLost = 2302,
    OrderRefused = 2303,
    // 3000: policy
    TiersClosed = 3001,
    TiersReopened = 3002,
    // 4000: configuration and plans
    ConfigurationAdopted = 4001,
    ConfigurationRejected = 4002,
    PlanAccepted = 4003,
    PlanStep = 4004,
    PlanFinished = 4005,
    PlanAborted = 4006,
    PlanLeaseTaken = 4007,
    OperatorDenied = 4008,
    ConfigurationBehind = 4009,
    ConfigurationCaughtUp = 4010,
    // 5000: external stores
    StoreUnavailable = 5001,
    StoreRecovered = 5002,
    StoreRestored = 5003,
    StoreEraMalformed = 5004,
    // 6000: gateway
    RequestServed = 6001,
    RequestNotServed = 6002,
    AttemptFailed = 6003,
    CallerRefused = 6004,
    CallerInputDiscarded = 6005,
    TokenCountMalformed = 6006,
    MemoryShort = 6007,
    EnginePaused = 6101,
    EngineListed = 6102,
    EngineGone = 6103,
    EngineRecordRejected = 6104,
    EngineLeaving = 6105,
    EnginePauseRequested = 6106,
    EngineLimitStated = 6107,
    EngineLimitLifted = 6108,
    EngineLimitMalformed = 6109,
    EngineVersionChanged = 6110,
    GatewaysChanged = 6201,
    GatewaySilent = 6202,
    GatewayHeard = 6203,
    GatewayReportRejected = 6204,
    GatewayRegistrationFailed = 6205,
    UnexpectedError = 6301,
    RolloutOrdered = 6401,
    RolloutOrderRejected = 6402,
    RolloutPhaseChanged = 6403,
    RolloutVersionBad = 6404,
    RolloutStateWritten = 6405,
    RolloutStateNotWritten = 6406,
    RolloutStateRead = 6407,
};

enum class Severity { Info, Warning, Error };

/// @brief Destination of log events. The daemon's implementation writes them through log4cplus.
class EventLog
{
public:
    virtual ~EventLog() = default;
    /// @param text details of the event, on one line
    virtual void record(Event event, Severity severity, const std::string &text) = 0;
};

/// @brief Discards every event.
class NullEventLog : public EventLog
{
public:
    void record(Event event, Severity severity, const std::string &text) override;
};

} // namespace monsoonward
