// The life of an exchange and its attempts at engines.
#include "exchange.h"

#include "enginestatements.h"
#include "headervalues.h"
#include "httpstatus.h"
#include "requesttraits.h"

#include <algorithm>

namespace monsoonward
{

namespace http = boost::beast::http;
using namespace httpstatus;

namespace
{

constexpr Duration minTimeToSend = std::chrono::milliseconds(20); // with less, no response can arrive in time
constexpr int minFirstSendPercent =
    95; // of the route's limit; a caller with less time left probably sends an earlier call again

std::string_view textOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Complete:
        return "whole";
    case AttemptOutcome::NotSent:
        return "not-sent";
    case AttemptOutcome::Rejected:
        return "rejected";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Broken:
        break;
    }
    return "broken";
}

/// @return milliseconds since then, for the log; -1 if it isn't known
std::int64_t ageOf(std::optional<TimePoint> time, TimePoint now)
{
    return time ? milliseconds(now - *time) : std::int64_t {-1};
}

/// @return why a request that was not placed is refused
std::string_view reasonOf(PlacementOutcome outcome)
{
    switch (outcome) {
    case PlacementOutcome::Full:
        return "engines-full";
    case PlacementOutcome::Limited:
        return "engines-limited";
    case PlacementOutcome::NoEngine:
    case PlacementOutcome::Placed:
        break;
    }
    return "no-engine";
}

/// @return what decided on a request that was not placed
std::string detailOf(const Placement &placement)
{
    if (placement.outcome == PlacementOutcome::NoEngine) {
        return "no engine may be tried";
    }
    if (placement.outcome == PlacementOutcome::Limited) {
        return std::string(placement.engine.name.text()) + " " + textOf(placement.allowance);
    }
    return "least in progress " + std::to_string(placement.inProgress) + " expected ms "
        + std::to_string(milliseconds(placement.expected)) + " limit ms "
        + std::to_string(milliseconds(placement.limit));
}

} // namespace

Exchange::Exchange(GatewayCore &core, Request request, TimePoint arrivedAt, ResponseSink &sink)
    : m_core(core)
    , m_requestOwner(std::make_shared<const Request>(std::move(request)))
    , m_request(*m_requestOwner)
    , m_arrivedAt(arrivedAt)
    , m_sink(&sink)
    , m_configuration(core.activeConfiguration)
    , m_timer(core.io)
    , m_responseShare(&core.memory)
    , m_memoryTimer(core.io)
{
    ++m_core.openRequests;
}

Exchange::~Exchange()
{
    --m_core.openRequests;
}

void Exchange::start()
{
    if (!admit()) {
        return;
    }
    if (auto *rollout = m_core.rollouts.find(m_service)) {
        rollout->requestReceived();
    }
    if (isTakeUp()) {
        findStream();
    } else {
        attempt();
    }
}

Duration Exchange::timeLeft() const
{
    return m_deadline - m_core.clock.now();
}

PlacementRequest Exchange::placementRequest() const
{
    PlacementRequest request;
    request.service = m_service;
    request.tier = m_tier;
    request.latencyObjective = m_route->latencyObjective;
    request.excludedEngines = m_triedEngines;
    if (m_streamBuild) {
        const auto uncertain = uncertainEngines();
        request.excludedEngines.insert(request.excludedEngines.end(), uncertain.begin(), uncertain.end());
    }
    request.isRetry = m_attempts > 0;
    request.build = m_streamBuild;
    request.mayHaveRun = m_mayHaveRun;
    request.timeLeft = timeLeft();
    request.isResend = m_route->timeLimit > Duration::zero()
        && m_deadline - m_arrivedAt < m_route->timeLimit * minFirstSendPercent / 100;
    request.uniformHash = uniformOf(hashOf(requestId()));
    if (m_core.promptSavings.isPossible(m_service)) {
        request.prompt = prompt();
    }
    return request;
}

std::vector<RequestTrait> Exchange::traits() const
{
    return traitsOf(m_request, promptParts(), m_customer == nullptr ? std::string_view() : m_customer->name.text());
}

bool Exchange::refusedAsSuspect()
{
    auto &suspects = m_core.crashSuspects;
    if (suspects.isEmpty()) {
        return false;
    }
    const auto now = m_core.clock.now();
    const auto left = suspects.refusedFor(traits(), now);
    const auto probeAllowedIn = left ? suspects.probeAllowedIn(traits(), now) : std::nullopt;
    m_isCrashProbe = m_isCrashProbe || probeAllowedIn == Duration::zero();
    if (!left || m_isCrashProbe) {
        return false;
    }
    const std::string reason = "crash-suspect";
    if (m_mayHaveRun || m_responseStarted) {
        finishWith(m_responseStarted ? NextStep::Abort : NextStep::Fail, reason);
    } else {
        const auto retryAfter = suspects.retryIn(traits(), now) + defaultRetryAfter;
        refuse(unavailable, reason, retryAfter, "parts " + std::string(promptParts()));
    }
    return true;
}

void Exchange::recordCrash(const EngineRecord &engine)
{
    // An engine that is leaving ends its connections as planned.
    if (m_core.engines.mayReceive(engine.name)) {
        m_core.crashSuspects.crashObserved(traits(), runOf(engine), m_core.clock.now());
    }
}

bool Exchange::isConfigurationFresh(TimePoint now) const
{
    const auto &freshness = m_core.freshness;
    return freshness.mayServe(now) && (m_customer == nullptr || freshness.mayAcceptKeys(now));
}

void Exchange::attempt()
{
    const auto now = m_core.clock.now();
    if (!isConfigurationFresh(now)) {
        const auto age = m_core.freshness.age(now).value_or(Duration::zero());
        m_lastFailure = "stale-configuration, proof age ms " + std::to_string(milliseconds(age));
        if (m_mayHaveRun || m_responseStarted) {
            finishWith(m_responseStarted ? NextStep::Abort : NextStep::Fail, m_lastFailure);
        } else {
            refuse(unavailable, "stale-configuration", defaultRetryAfter, m_lastFailure);
        }
        return;
    }
    if (refusedAsSuspect()) {
        return;
    }
    const auto placement = place(now);
    if (placement.outcome == PlacementOutcome::Placed) {
        send(placement);
        return;
    }
    const auto detail = detailOf(placement) + (m_lastFailure.empty() ? "" : " after " + m_lastFailure);
    if (m_responseStarted) {
        finishWith(NextStep::Abort, detail);
    } else if (m_mayHaveRun) {
        finishWith(NextStep::Fail, detail);
    } else {
        const bool isVersionGone = m_streamBuild && placement.outcome == PlacementOutcome::NoEngine;
        refuse(unavailable,
               isVersionGone ? "version-gone" : std::string(reasonOf(placement.outcome)),
               placement.retryAfter,
               detail);
    }
}

void Exchange::send(const Placement &placement)
{
    const auto &engine = placement.engine;
    const auto now = m_core.clock.now();
    m_core.health.recordAttempt(engine.name, now);
    m_core.placer->requestSent(engine.name, now);
    m_core.engineLimiter.requestSent(engine, now);
    m_triedEngines.push_back(engine.name);
    m_lastVersion = engine.softwareVersion;
    m_sentAt = now;
    m_loadAtPlacement = placement.load;
    sendPrompt(placement);
    m_allowanceAtPlacement = placement.allowance;
    m_hasLostConnection = false;
    m_timeToFirstBytes.reset();
    recordTrial(true);
    if (m_isCrashProbe) {
        m_core.crashSuspects.probeStarted(traits(), now);
        m_core.log.write(
            Event::SuspectProbed,
            Severity::Info,
            "crash-suspect-probed",
            {{"request", requestId()}, {"engine", std::string_view(engine.name.text())}, {"parts", promptParts()}});
    }
    ++m_attempts;
    m_call = std::make_shared<EngineCall>(
        m_core.pool, m_core.adapter.dialect(), engine, makeEngineRequest(engine, timeLeft()), *this);
    m_call->start();
}

std::string Exchange::reasonNotToSend()
{
    const auto now = m_core.clock.now();
    if (now >= m_deadline) {
        return "the time limit has passed while connecting";
    }
    if (!isConfigurationFresh(now)) {
        return "the configuration became too old while connecting";
    }
    if (m_streamBuild && !isVersionCertain(m_call->engine().name)) {
        return "the version of the engine is no longer certain";
    }
    return m_core.engines.mayReceive(m_call->engine().name) ? "" : "the engine has left while connecting";
}

void Exchange::engineLeaving()
{
    const auto &engine = m_call->engine().name;
    if (m_core.engines.markLeaving(engine)) {
        m_core.log.write(Event::EngineLeaving,
                         Severity::Info,
                         "engine-leaving",
                         {{"engine", std::string_view(engine.text())}, {"request", requestId()}});
    }
}

void Exchange::pauseRequested(Duration length)
{
    const auto &engine = m_call->engine().name;
    m_core.health.recordRequestedPause(engine, length, m_core.clock.now());
    m_core.log.write(
        Event::EnginePauseRequested,
        Severity::Info,
        "engine-pause-requested",
        {{"engine", std::string_view(engine.text())}, {"request", requestId()}, {"pause_ms", milliseconds(length)}});
}

void Exchange::rateLimitStated(std::optional<double> perSecond)
{
    if (perSecond || !m_core.engineLimits.isEmpty()) {
        recordRateLimit(m_core, m_call->engine(), perSecond, requestId());
    }
}

void Exchange::rateLimitMalformed(const std::string &reason)
{
    recordMalformedRateLimit(m_core, m_call->engine(), reason, requestId());
}

void Exchange::connectionLost()
{
    m_hasLostConnection = true;
}

void Exchange::connectionRefused()
{
    m_core.crashSuspects.engineRefusedConnection(runOf(m_call->engine()), m_core.clock.now());
}

std::shared_ptr<const EngineCall::Request> Exchange::makeEngineRequest(const EngineRecord &engine,
                                                                       Duration timeout) const
{
    const auto &dialect = m_core.adapter.dialect();
    auto request = std::make_shared<EngineCall::Request>();
    request->bodyOwner = m_requestOwner;
    static_cast<http::fields &>(request->base()) = endToEndFields(m_request.base());
    request->method_string(m_request.method_string());
    request->target(m_request.target());
    request->version(11);
    for (const auto &it : dialect.reservedHeaders) {
        request->erase(it);
    }
    request->set(dialect.requestId, requestId());
    request->erase(dialect.apiKey);
    request->erase(dialect.customer);
    if (m_customer != nullptr) {
        request->set(dialect.customer, m_customer->name.text());
    }
    request->set(dialect.expectedEngine, engine.name.text());
    request->set(dialect.timeLeft, std::to_string(std::max<std::int64_t>(1, milliseconds(timeout))));
    if (const auto last = m_eventSplitter.lastId()) {
        request->set(dialect.lastEventId, std::to_string(*last));
    }
    request->body() = {m_request.body().data(), m_request.body().size()};
    if (m_request.has_content_length() || !m_request.body().empty()) {
        request->content_length(m_request.body().size());
    }
    return request;
}

AttemptState Exchange::attemptStateAfter(AttemptOutcome outcome) const
{
    AttemptState state;
    state.outcome = outcome;
    state.repeatability = m_route->repeatability;
    state.responseStarted = m_responseStarted;
    state.mayHaveRun = m_mayHaveRun;
    state.attempts = m_attempts;
    state.maxAttempts = m_route->maxAttempts;
    state.hasTime = timeLeft() > minTimeToSend;
    return state;
}

void Exchange::callEnded(AttemptOutcome outcome, const std::string &reason)
{
    const auto self = shared_from_this();
    const auto engineRecord = m_call->engine();
    const auto &engine = engineRecord.name;
    const auto run = m_call->connectedRun();
    m_call.reset();
    auto finalOutcome = outcome;
    auto finalReason = reason;
    if (outcome == AttemptOutcome::Complete && m_isStreaming
        && (m_eventSplitter.isInvalid() || m_eventSplitter.isInsideEvent())) {
        finalOutcome = AttemptOutcome::Broken;
        finalReason = "the stream ended inside an event";
        m_hasLostConnection = true;
    }
    const auto now = m_core.clock.now();
    m_core.placer->requestEnded(engine);
    m_core.metrics.attemptEnded(m_service, std::string(textOf(finalOutcome)));
    if (finalOutcome == AttemptOutcome::Complete) {
        m_core.health.recordSuccess(engine);
        recordVersionAnswer(engineRecord, m_timeToFirstBytes.value_or(now - m_sentAt));
        if (m_responseHead.status < firstRedirect) {
            m_core.crashSuspects.requestCompleted(traits(), now);
        }
        finishResponse();
        return;
    }
    if (finalOutcome != AttemptOutcome::Rejected && m_core.health.recordFailure(engine, now)) {
        m_core.log.write(Event::EnginePaused,
                         Severity::Warning,
                         "engine-paused",
                         {{"engine", std::string_view(engine.text())}, {"reason", std::string_view(finalReason)}});
    }
    m_lastFailure = std::string(textOf(finalOutcome)) + " " + finalReason;
    m_core.log.write(Event::AttemptFailed,
                     Severity::Info,
                     "attempt-failed",
                     {{"request", requestId()},
                      {"engine", std::string_view(engine.text())},
                      {"end", textOf(finalOutcome)},
                      {"reason", std::string_view(finalReason)},
                      {"attempt", static_cast<std::int64_t>(m_attempts)},
                      {"version", std::string_view(engineRecord.softwareVersion)},
                      {"events", static_cast<std::int64_t>(m_eventSplitter.eventCount())},
                      {"connection_lost", m_hasLostConnection},
                      {"parts", m_hasLostConnection ? promptParts() : std::string_view()},
                      {"registrations_age_ms", ageOf(m_core.engines.readAsOf(), now)},
                      {"connected_ms", ageOf(run ? std::optional(run->since) : std::nullopt, now)},
                      {"after_ms", milliseconds(now - m_sentAt)}});
    m_hasLostConnection = m_hasLostConnection && finalOutcome == AttemptOutcome::Broken;
    if (m_hasLostConnection) {
        recordCrash(engineRecord);
    }
    if (finalOutcome == AttemptOutcome::Failed || (finalOutcome == AttemptOutcome::Broken && !m_hasLostConnection)) {
        recordVersionAnswer(engineRecord, std::nullopt);
    }
    m_areEnginesRead = m_areEnginesRead && finalOutcome == AttemptOutcome::NotSent;
    const auto state = attemptStateAfter(finalOutcome);
    m_mayHaveRun = m_mayHaveRun || finalOutcome == AttemptOutcome::Broken || finalOutcome == AttemptOutcome::Failed;
    if (finalOutcome == AttemptOutcome::NotSent) {
        --m_attempts;
        recordTrial(false);
        if (m_isCrashProbe) {
            m_core.crashSuspects.probeNotSent(traits(), now);
        }
        m_core.engineLimiter.requestNotSent(engineRecord);
    }
    const bool isResumable = m_responseStarted && m_route->repeatability == Repeatability::Resumable;
    if (isResumable && !m_areEnginesRead && (!confirmWriter() || mustReadEngines())) {
        readEngines([this, state] { continueAfter(state); });
        return;
    }
    continueAfter(state);
}

void Exchange::continueAfter(const AttemptState &state)
{
    if (m_responseStarted && m_route->repeatability == Repeatability::Resumable) {
        if (confirmWriter()) {
            tellStream();
        } else {
            doubtStream();
        }
    }
    const bool mayRetry = !m_hasLostConnection || m_core.crashSuspects.mayRetry(traits(), m_core.clock.now());
    if (mayRetry && nextStep(state) == NextStep::TryAnother && retry(state)) {
        return;
    }
    finishWith(stepWithoutRetry(state), m_lastFailure);
}

bool Exchange::retry(const AttemptState &state)
{
    if (m_responseStarted && !m_eventSplitter.canContinue()) {
        m_lastFailure += ", no event ID to resume after";
        return false;
    }
    if (m_responseStarted && (!confirmWriter() || isStreamDoubtful())) {
        m_lastFailure += ", the version of its events is not certain, registrations age ms "
            + std::to_string(ageOf(m_core.engines.readAsOf(), m_core.clock.now()));
        return false;
    }
    const auto now = m_core.clock.now();
    const auto placement = place(now);
    if (placement.outcome != PlacementOutcome::Placed) {
        m_lastFailure += ", " + std::string(reasonOf(placement.outcome)) + " " + detailOf(placement);
        return false;
    }
    if (state.outcome != AttemptOutcome::NotSent && !m_core.retryBudget.take(m_service, m_core.fleet.size(), now)) {
        m_lastFailure += ", retry budget spent";
        return false;
    }
    m_responseBody.clear();
    m_responseShare.release();
    m_isHeldBack = false;
    if (m_responseStarted) {
        m_eventSplitter.restart();
    } else {
        m_isStreaming = false;
        m_eventSplitter = EventSplitter();
    }
    attempt();
    return true;
}

void Exchange::finishWith(NextStep step, const std::string &reason)
{
    switch (step) {
    case NextStep::ForwardFailure:
        forwardFailure();
        return;
    case NextStep::Refuse:
        refuse(unavailable,
               "engines-refused",
               m_core.placer->place(placementRequest(), m_core.clock.now()).retryAfter,
               reason);
        return;
    case NextStep::Abort:
        std::exchange(m_sink, nullptr)->abort();
        recordEnd(RequestOutcome::BrokenOff, "engine-lost", reason);
        return;
    case NextStep::Finish:
    case NextStep::TryAnother:
    case NextStep::Fail:
        break;
    }
    sendGatewayResponse(badGateway, "may-have-run", Duration::zero());
    recordEnd(RequestOutcome::Failed, "engine-lost", reason);
}

} // namespace monsoonward
