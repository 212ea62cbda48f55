#include "exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsoonward
{

namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned firstRedirect = 300;

constexpr Duration minTimeToSend = std::chrono::milliseconds(20); // with less, no response can arrive in time
constexpr Duration defaultRetryAfter =
    std::chrono::milliseconds(500); // by then a failed store call has been retried, or requests have ended
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(50); // a new connection reaches another gateway
constexpr Duration minRateLimitWait =
    std::chrono::milliseconds(100); // the response and the next request are in transit for that long anyway
constexpr Duration defaultTimeLimit = std::chrono::seconds(30); // if neither caller nor route sets a limit
constexpr int minFirstSendPercent =
    95; // of the route's limit; a caller with less time left probably sends an earlier call again
constexpr std::size_t maxBufferedBodyBytes =
    std::size_t {8} * 1024 * 1024; // body size of a response that is forwarded as a whole
constexpr std::size_t mebibyte = std::size_t {1024} * 1024;
constexpr std::size_t bodyMemoryDivisor = 3; // request bodies may take a third of the memory

/// @return the sum of a comma-separated list of numbers, or nothing if @p text is not such a list
std::optional<double> sumOfList(std::string_view text)
{
    double sum = 0;
    while (!text.empty()) {
        double n = 0;
        const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || n < 0) {
            return std::nullopt;
        }
        sum += n;
        text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
        if (!text.empty() && text.front() != ',') {
            return std::nullopt;
        }
        text.remove_prefix(text.empty() ? 0 : 1);
    }
    return sum;
}

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @return seconds with two decimals, rounded up, for the Retry-After header
std::string retryAfterText(Duration duration)
{
    constexpr double hundredths = 100;
    const auto n = static_cast<unsigned>(std::ceil(std::chrono::duration<double>(duration).count() * hundredths));
    const auto rest = std::to_string(n % 100);
    return std::to_string(n / 100) + "." + (rest.size() == 1 ? "0" : "") + rest;
}

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

bool isEventStream(const http::fields &fields)
{
    constexpr std::string_view type = "text/event-stream";
    return viewOf(fields[http::field::content_type]).substr(0, type.size()) == type;
}

/// @return the tier that orders requests first by their customer's tier, then by their route's
Tier combinedTier(Tier customer, Tier route)
{
    constexpr unsigned routeTiers = 10;
    return Tier(customer.level() * routeTiers + std::min(route.level(), routeTiers - 1));
}

/// @return whether callers conclude from the status alone that the request did not run
bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == tooManyRequests || status == unavailable;
}

} // namespace

Exchange::Exchange(GatewayCore &core, Request request, TimePoint arrivedAt, ResponseSink &sink)
    : m_core(core)
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_sink(&sink)
    , m_configuration(core.activeConfiguration)
    , m_timer(core.io)
{
    ++m_core.openRequests;
    m_core.openBodyBytes += m_request.body().size();
}

Exchange::~Exchange()
{
    --m_core.openRequests;
    m_core.openBodyBytes -= m_request.body().size();
}

void Exchange::start()
{
    if (admit()) {
        attempt();
    }
}

// ---- admission

bool Exchange::admit()
{
    if (!m_configuration) {
        refuse(unavailable, "no-configuration", defaultRetryAfter, "");
        return false;
    }
    if (viewOf(m_request[m_core.adapter.dialect().requestId]).empty()) {
        refuse(badRequest, "no-request-id", Duration::zero(), "");
        return false;
    }
    if (!findRoute() || !findCustomer()) {
        return false;
    }
    const auto stated = sumOfList(viewOf(m_request[m_core.adapter.dialect().timeLeft]));
    auto left = m_route->timeLimit > Duration::zero() ? m_route->timeLimit : defaultTimeLimit;
    if (stated && *stated > 0) {
        const std::chrono::duration<double, std::milli> limit = left; // a larger number may not fit into Duration
        left =
            std::chrono::duration_cast<Duration>(std::min(std::chrono::duration<double, std::milli>(*stated), limit));
    }
    m_deadline = m_arrivedAt + left;
    m_timer.expires_after(timeLeft());
    m_timer.async_wait([self = shared_from_this()](const error_code &ec) {
        if (!ec) {
            self->onDeadline();
        }
    });
    if (m_core.isStopping && m_arrivedAt >= m_core.lateRequestsFrom && m_deadline > m_core.abortAt) {
        refuse(unavailable, "stopping", stoppingRetryAfter, "");
        return false;
    }
    m_core.retryBudget.recordRequest(m_service, m_arrivedAt);
    if (m_core.openBodyBytes > m_core.settings.maxMemoryMegabytes * mebibyte / bodyMemoryDivisor) {
        refuse(unavailable, "memory", defaultRetryAfter, "open bytes " + std::to_string(m_core.openBodyBytes));
        return false;
    }
    return applyRateLimit();
}

bool Exchange::findRoute()
{
    m_route = m_configuration->routes.find(viewOf(m_request[http::field::host]), viewOf(m_request.target()));
    if (m_route == nullptr || m_route->services.empty()) {
        const bool isCertain = m_core.freshness.mayDeny(m_core.clock.now());
        refuse(isCertain ? notFound : unavailable, isCertain ? "no-route" : "stale-route", defaultRetryAfter, "");
        return false;
    }
    const auto id = viewOf(m_request[m_core.adapter.dialect().requestId]);
    m_service = serviceFor(*m_route, XXH3_64bits(id.data(), id.size()));
    m_tier = combinedTier(m_route->tier, m_route->tier);
    return true;
}

bool Exchange::findCustomer()
{
    if (m_route->isPublic || !m_configuration->customers.requiresKey()) {
        return true;
    }
    const auto now = m_core.clock.now();
    m_customer = m_configuration->customers.find(viewOf(m_request[m_core.adapter.dialect().apiKey]));
    if (m_customer == nullptr) {
        const bool isCertain = m_core.freshness.mayDeny(now);
        refuse(isCertain ? unauthorized : unavailable, isCertain ? "unknown-key" : "stale-key", defaultRetryAfter, "");
        return false;
    }
    m_tier = combinedTier(m_customer->tier.value_or(m_route->tier), m_route->tier);
    return true;
}

bool Exchange::applyRateLimit()
{
    if (m_customer == nullptr) {
        return true;
    }
    const auto now = m_core.clock.now();
    const auto &name = m_customer->name;
    const auto stated = viewOf(m_request[m_core.adapter.dialect().tokenCounts]);
    const auto tokens = stated.empty() ? std::nullopt : sumOfList(stated);
    const auto units = m_customer->countsTokens ? tokens.value_or(m_customer->defaultRequestUnits) : 1.0;
    const auto demand = m_core.rateLimiter.demand(name, now) + units;
    const RateLimitShare share {m_core.fleet.reportingFraction(now), m_core.fleet.ownFractionFor(name, demand, now)};
    if (!m_core.rateLimiter.take(*m_customer, units, share, now)) {
        const auto wait = m_core.rateLimiter.waitTime(*m_customer, units, share);
        const auto text = [](double n) { return std::to_string(static_cast<std::int64_t>(n)); };
        refuse(tooManyRequests,
               "allotment",
               std::max<Duration>(wait, minRateLimitWait),
               "units " + text(units) + " level " + text(m_core.rateLimiter.level(name)) + " demand " + text(demand)
                   + " share per mille " + text(share.ownFraction * 1000) + " heard per mille "
                   + text(share.reportingFraction * 1000));
        return false;
    }
    m_chargedUnits = units;
    return true;
}

// ---- attempts

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
    request.isRetry = m_attempts > 0;
    request.timeLeft = timeLeft();
    request.isResend = m_route->timeLimit > Duration::zero()
        && m_deadline - m_arrivedAt < m_route->timeLimit * minFirstSendPercent / 100;
    const auto id = requestId();
    constexpr double steps = 1024;
    request.uniformHash = static_cast<double>(XXH3_64bits(id.data(), id.size()) % 1024) / steps;
    return request;
}

void Exchange::attempt()
{
    const auto now = m_core.clock.now();
    if (m_customer != nullptr && !m_core.freshness.mayAcceptKeys(now)) {
        const auto age = m_core.freshness.age(now).value_or(Duration::zero());
        m_lastFailure = "stale-configuration, proof age ms " + std::to_string(milliseconds(age));
        if (m_mayHaveRun || m_responseStarted) {
            finishWith(m_responseStarted ? NextStep::Abort : NextStep::Fail, m_lastFailure);
        } else {
            refuse(unavailable, "stale-configuration", defaultRetryAfter, m_lastFailure);
        }
        return;
    }
    const auto placement = m_core.placer->place(placementRequest(), now);
    if (placement.outcome == PlacementOutcome::Placed) {
        send(placement);
        return;
    }
    const bool isFull = placement.outcome == PlacementOutcome::Full;
    const auto detail = "least in progress " + std::to_string(placement.inProgress) + " expected ms "
        + std::to_string(milliseconds(placement.expected)) + " limit ms "
        + std::to_string(milliseconds(placement.limit)) + (m_lastFailure.empty() ? "" : " after " + m_lastFailure);
    if (m_responseStarted) {
        finishWith(NextStep::Abort, detail);
    } else if (m_mayHaveRun) {
        finishWith(NextStep::Fail, detail);
    } else {
        refuse(unavailable, isFull ? "engines-full" : "no-engine", placement.retryAfter, detail);
    }
}

void Exchange::send(const Placement &placement)
{
    const auto &engine = placement.engine;
    const auto now = m_core.clock.now();
    m_core.health.recordAttempt(engine.name, now);
    m_core.placer->requestSent(engine.name, now);
    m_triedEngines.push_back(engine.name);
    m_sentAt = now;
    m_loadAtPlacement = placement.load;
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
    if (m_customer != nullptr && !m_core.freshness.mayAcceptKeys(now)) {
        return "the configuration became too old while connecting";
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

std::shared_ptr<const Exchange::Request> Exchange::makeEngineRequest(const EngineRecord &engine, Duration timeout) const
{
    const auto &dialect = m_core.adapter.dialect();
    auto request = std::make_shared<Request>();
    static_cast<http::fields &>(request->base()) = endToEndFields(m_request.base());
    request->method_string(m_request.method_string());
    request->target(m_request.target());
    request->version(11);
    for (const auto &it : dialect.reservedHeaders) {
        request->erase(it);
    }
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
    request->body() = m_request.body();
    if (m_request.has_content_length() || m_request.chunked()) {
        request->content_length(request->body().size());
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
    const auto engine = m_call->engine().name;
    m_call.reset();
    auto finalOutcome = outcome;
    if (outcome == AttemptOutcome::Complete && m_isStreaming
        && (m_eventSplitter.isInvalid() || m_eventSplitter.isInsideEvent())) {
        finalOutcome = AttemptOutcome::Broken;
    }
    const auto now = m_core.clock.now();
    m_core.placer->requestEnded(engine);
    m_core.metrics.attemptEnded(m_service, std::string(textOf(finalOutcome)));
    if (finalOutcome == AttemptOutcome::Complete) {
        m_core.health.recordSuccess(engine);
        finishResponse();
        return;
    }
    if (finalOutcome != AttemptOutcome::Rejected && m_core.health.recordFailure(engine, now)) {
        m_core.log.write(Event::EnginePaused,
                         Severity::Warning,
                         "engine-paused",
                         {{"engine", std::string_view(engine.text())}, {"reason", std::string_view(reason)}});
    }
    m_lastFailure = std::string(textOf(finalOutcome)) + " " + reason;
    m_core.log.write(Event::AttemptFailed,
                     Severity::Info,
                     "attempt-failed",
                     {{"request", requestId()},
                      {"engine", std::string_view(engine.text())},
                      {"end", textOf(finalOutcome)},
                      {"reason", std::string_view(reason)},
                      {"attempt", static_cast<std::int64_t>(m_attempts)},
                      {"after_ms", milliseconds(now - m_sentAt)}});
    const auto state = attemptStateAfter(finalOutcome);
    m_mayHaveRun = m_mayHaveRun || finalOutcome == AttemptOutcome::Broken || finalOutcome == AttemptOutcome::Failed;
    if (finalOutcome == AttemptOutcome::NotSent) {
        --m_attempts;
    }
    if (nextStep(state) == NextStep::TryAnother && retry(state)) {
        return;
    }
    finishWith(stepWithoutRetry(state), m_lastFailure);
}

bool Exchange::retry(const AttemptState &state)
{
    const auto now = m_core.clock.now();
    const bool hasEngine = m_core.placer->place(placementRequest(), now).outcome == PlacementOutcome::Placed;
    if (!hasEngine) {
        return false;
    }
    if (state.outcome != AttemptOutcome::NotSent && !m_core.retryBudget.take(m_service, m_core.fleet.size(), now)) {
        m_lastFailure += ", retry budget spent";
        return false;
    }
    if (m_responseStarted) {
        m_eventSplitter.restart();
    } else {
        m_responseBody.clear();
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

// ---- response

void Exchange::responseStarted(const ResponseHead &head)
{
    if (m_responseStarted) {
        // Another engine continues the stream. The caller already has the first engine's headers.
        if (head.status >= firstRedirect) {
            m_eventSplitter.restart();
        }
        m_isStreaming = head.status < firstRedirect;
        return;
    }
    m_responseHead = head;
    m_isStreaming = m_route->isStream && head.status < firstRedirect && isEventStream(head.fields);
    if (!m_isStreaming && head.status < firstRedirect) {
        recordFirstBytes();
    }
    if (m_firstBytesAt == TimePoint()) {
        m_firstBytesAt = m_core.clock.now();
    }
}

void Exchange::recordFirstBytes()
{
    const auto now = m_core.clock.now();
    m_core.placer->firstBytesReceived(m_call->engine(), m_loadAtPlacement, now - m_sentAt, now);
}

void Exchange::bodyReceived(std::string_view bytes)
{
    if (!m_isStreaming) {
        if (!m_responseStarted) {
            m_responseBody.append(bytes);
        }
        if (m_responseBody.size() > maxBufferedBodyBytes) {
            breakOff("the response is larger than " + std::to_string(maxBufferedBodyBytes) + " bytes");
            return;
        }
        m_call->resume();
        return;
    }
    auto events = m_eventSplitter.push(bytes);
    if (m_eventSplitter.isInvalid()) {
        breakOff("event too large, or event IDs not consecutive");
        return;
    }
    if (events.empty()) {
        m_call->resume();
        return;
    }
    if (!m_responseStarted) {
        m_responseStarted = true;
        recordFirstBytes();
        m_core.metrics.firstBytesSent(m_service, m_tier, m_core.clock.now() - m_arrivedAt);
        m_sink->startStream(m_responseHead.status, endToEndFields(m_responseHead.fields));
    }
    const auto now = m_core.clock.now();
    if (m_lastEventAt != TimePoint()) {
        m_maxEventGap = std::max(m_maxEventGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    m_sink->sendBytes(std::move(events));
}

void Exchange::breakOff(const std::string &reason)
{
    const auto call = m_call;
    call->cancel();
    callEnded(AttemptOutcome::Broken, reason);
}

void Exchange::bytesSent()
{
    if (m_call) {
        m_call->resume();
    }
}

void Exchange::finishResponse()
{
    if (m_responseStarted && !m_isStreaming) {
        finishWith(NextStep::Abort, "the engine that should resume the stream returned no stream");
        return;
    }
    auto *sink = std::exchange(m_sink, nullptr);
    if (m_responseStarted) {
        sink->finishStream();
    } else {
        sink->respond({m_responseHead.status, endToEndFields(m_responseHead.fields), std::move(m_responseBody)});
    }
    recordEnd(RequestOutcome::Served, "", "");
}

void Exchange::forwardFailure()
{
    if (impliesNotRun(m_responseHead.status)) { // the engine may have run the request, so the caller gets 502
        sendGatewayResponse(badGateway, "may-have-run", Duration::zero());
    } else {
        std::exchange(m_sink, nullptr)
            ->respond({m_responseHead.status, endToEndFields(m_responseHead.fields), std::move(m_responseBody)});
    }
    recordEnd(RequestOutcome::Failed, "engine-failed", "status " + std::to_string(m_responseHead.status));
}

void Exchange::onDeadline()
{
    if (m_sink == nullptr) {
        return;
    }
    const bool mayHaveRun = m_mayHaveRun || (m_call && m_call->isSent());
    if (m_call) {
        m_call->cancel();
        const auto now = m_core.clock.now();
        m_core.placer->requestEnded(m_call->engine().name);
        if (!m_responseStarted && now - m_sentAt > m_route->latencyObjective) {
            m_core.health.recordFailure(m_call->engine().name, now);
        }
        m_call.reset();
    }
    if (m_responseStarted) {
        std::exchange(m_sink, nullptr)->abort();
        recordEnd(RequestOutcome::BrokenOff, "time-limit", "");
    } else if (mayHaveRun) {
        sendGatewayResponse(gatewayTimeout, "may-have-run", Duration::zero());
        recordEnd(RequestOutcome::Failed, "time-limit", "");
    } else {
        refuse(unavailable, "time-limit", Duration::zero(), "");
    }
}

void Exchange::callerDisconnected()
{
    m_sink = nullptr;
    if (m_call) {
        m_call->cancel();
        m_core.placer->requestEnded(m_call->engine().name);
        m_call.reset();
    }
    const bool isCutByShutdown = m_core.isStopping && m_core.clock.now() >= m_core.abortAt;
    recordEnd(isCutByShutdown ? RequestOutcome::BrokenOff : RequestOutcome::Abandoned,
              isCutByShutdown ? "stopping" : "caller-left",
              "");
}

void Exchange::refuse(unsigned status, const std::string &reason, Duration retryAfter, const std::string &detail)
{
    if (m_chargedUnits > 0) {
        m_core.rateLimiter.refund(m_customer->name, m_chargedUnits);
        m_chargedUnits = 0;
    }
    const bool isRetryable = status == tooManyRequests || status == unavailable;
    sendGatewayResponse(status, reason, isRetryable ? retryAfter : Duration::zero());
    recordEnd(isRetryable ? RequestOutcome::Refused : RequestOutcome::Denied, reason, detail);
}

void Exchange::sendGatewayResponse(unsigned status, const std::string &reason, Duration retryAfter)
{
    CallerResponse response;
    response.status = status;
    const auto &id = m_core.adapter.dialect().requestId;
    if (const auto it = m_request.find(id); it != m_request.end()) {
        response.fields.set(id, it->value());
    }
    const bool mayHaveRun = status == badGateway || status == gatewayTimeout;
    response.fields.set("Monsoonward-Verdict", mayHaveRun ? "may-have-run" : "not-run");
    response.fields.set(http::field::content_type, "text/plain");
    if (retryAfter > Duration::zero()) {
        response.fields.set(http::field::retry_after, retryAfterText(retryAfter));
    }
    response.body = reason + "\n";
    std::exchange(m_sink, nullptr)->respond(std::move(response));
}

std::string Exchange::requestId() const
{
    return std::string(viewOf(m_request[m_core.adapter.dialect().requestId]));
}

void Exchange::recordEnd(RequestOutcome outcome, const std::string &reason, const std::string &detail)
{
    m_timer.cancel();
    const auto now = m_core.clock.now();
    m_core.metrics.requestEnded(m_service, m_tier, outcome, reason, now - m_arrivedAt);
    if (!m_core.log.writesInfo()) {
        return;
    }
    const bool wasServed = outcome == RequestOutcome::Served;
    const auto word = textOf(outcome);
    const auto id = requestId();
    const std::string_view customer = m_customer == nullptr ? std::string_view() : m_customer->name.text();
    const std::string_view engine = m_triedEngines.empty() ? std::string_view() : m_triedEngines.back().text();
    const auto proofAge = m_core.freshness.age(now);
    m_core.log.write(
        wasServed ? Event::RequestServed : Event::RequestNotServed,
        Severity::Info,
        word,
        {{"request", std::string_view(id)},
         {"reason", std::string_view(reason)},
         {"detail", std::string_view(detail)},
         {"service", std::string_view(m_service.text())},
         {"route", m_route == nullptr ? std::string_view() : m_route->name},
         {"customer", customer},
         {"tier", static_cast<std::int64_t>(m_tier.level())},
         {"engine", engine},
         {"sends", static_cast<std::int64_t>(m_attempts)},
         {"events", static_cast<std::int64_t>(m_eventSplitter.eventCount())},
         {"status", static_cast<std::int64_t>(m_responseHead.status)},
         {"first_ms", m_firstBytesAt == TimePoint() ? -1 : milliseconds(m_firstBytesAt - m_arrivedAt)},
         {"pause_ms", milliseconds(m_maxEventGap)},
         {"after_ms", milliseconds(now - m_arrivedAt)},
         {"left_ms", milliseconds(timeLeft())},
         {"load_percent", static_cast<std::int64_t>(m_loadAtPlacement * 100)},
         {"revision", static_cast<std::int64_t>(m_configuration ? m_configuration->configuration->revision : 0)},
         {"proof_age_ms", proofAge ? milliseconds(*proofAge) : std::int64_t {-1}}});
}

} // namespace monsoonward
