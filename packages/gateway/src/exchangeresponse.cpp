// What an exchange sends to its caller and records at its end.
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

constexpr Duration memoryRetryInterval = std::chrono::milliseconds(10);
constexpr Duration maxMemoryWait = std::chrono::milliseconds(500); // before a response is read on beyond the bound
constexpr std::size_t maxBufferedBodyBytes = std::size_t {8} * 1024 * 1024; // body size of a response that is no stream

} // namespace

void Exchange::responseStarted(const ResponseHead &head)
{
    if (!m_core.crashSuspects.isEmpty()) {
        m_core.crashSuspects.engineAnswered(runOf(m_call->engine()), m_sentAt, m_core.clock.now());
    }
    if (m_responseStarted) {
        // Another engine continues the stream. The caller already has the first engine's headers.
        m_isStreaming = head.status == ok && isEventStream(head.fields);
        if (!m_isStreaming) {
            m_eventSplitter.restart();
        }
        recordWriter();
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
    if (m_promptTokens > 0) {
        m_core.promptSavings.firstBytesReceived(m_service, m_promptTokens - m_heldTokens, now - m_sentAt);
    }
}

void Exchange::bodyReceived(std::string_view bytes)
{
    if (!m_isStreaming) {
        m_responseBody.append(bytes);
        if (m_responseBody.size() > maxBufferedBodyBytes) {
            breakOff("the response is larger than " + std::to_string(maxBufferedBodyBytes) + " bytes");
            return;
        }
        m_responseShare.hold(m_responseBody.size());
        resumeWithMemory();
        return;
    }
    auto events = m_eventSplitter.push(bytes);
    if (m_eventSplitter.isInvalid()) {
        breakOff("event too large, event IDs not consecutive, or too many repeated events");
        return;
    }
    if (events.empty()) {
        m_call->resume();
        return;
    }
    if (!m_responseStarted) {
        m_responseStarted = true;
        recordStreamStart();
        recordFirstBytes();
        m_timeToFirstBytes = m_core.clock.now() - m_sentAt;
        m_core.metrics.firstBytesSent(m_service, m_tier, m_core.clock.now() - m_arrivedAt);
        m_sink->startStream(m_responseHead.status, endToEndFields(m_responseHead.fields));
    }
    const auto now = m_core.clock.now();
    if (m_lastEventAt != TimePoint()) {
        m_maxEventGap = std::max(m_maxEventGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    m_isHeldBack = !m_sink->sendBytes(std::move(events));
    if (!m_isHeldBack) {
        m_call->resume();
    }
}

void Exchange::resumeWithMemory()
{
    const auto size = m_responseBody.size();
    const auto now = m_core.clock.now();
    m_heldBackSince = m_heldBackSince.value_or(now);
    // Responses that all wait for each other would never end.
    if (size <= MemoryAccount::shortBytes || m_responseShare.hasRoomFor(size + MemoryAccount::shortBytes)
        || now - *m_heldBackSince >= maxMemoryWait) {
        m_heldBackSince.reset();
        m_call->resume();
        return;
    }
    m_memoryTimer.expires_after(memoryRetryInterval);
    m_memoryTimer.async_wait([self = shared_from_this(), call = m_call](const boost::system::error_code &ec) {
        if (!ec && self->m_call == call && self->m_sink != nullptr) {
            self->resumeWithMemory();
        }
    });
}

void Exchange::breakOff(const std::string &reason)
{
    const auto call = m_call;
    call->cancel();
    callEnded(AttemptOutcome::Broken, reason);
}

void Exchange::bytesSent()
{
    if (m_call && std::exchange(m_isHeldBack, false)) {
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
    m_responseShare.release(); // the connection counts what it writes
    if (m_responseStarted) {
        sink->finishStream();
    } else {
        sink->respond({m_responseHead.status, endToEndFields(m_responseHead.fields), std::move(m_responseBody)});
    }
    recordEnd(RequestOutcome::Served, "", textOf(m_allowanceAtPlacement));
}

void Exchange::forwardFailure()
{
    m_responseShare.release(); // the connection counts what it writes
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
    const auto now = m_core.clock.now();
    if (m_call && !m_responseStarted && now - m_sentAt > m_route->latencyObjective) {
        m_core.health.recordFailure(m_call->engine().name, now);
        recordVersionAnswer(m_call->engine(), std::nullopt);
    }
    giveUp(gatewayTimeout, "time-limit", Duration::zero());
}

void Exchange::endNow()
{
    if (m_sink != nullptr) {
        giveUp(badGateway, "stopping", stoppingRetryAfter);
    }
}

void Exchange::cancelCall()
{
    if (!m_call) {
        return;
    }
    m_call->cancel();
    m_core.placer->requestEnded(m_call->engine().name);
    if (!m_call->isSent()) {
        m_core.engineLimiter.requestNotSent(m_call->engine());
    }
    m_call.reset();
}

void Exchange::giveUp(unsigned statusIfMayHaveRun, const std::string &reason, Duration retryAfter)
{
    const bool mayHaveRun = m_mayHaveRun || (m_call && m_call->isSent());
    cancelCall();
    if (m_responseStarted) {
        std::exchange(m_sink, nullptr)->abort();
        recordEnd(RequestOutcome::BrokenOff, reason, "");
    } else if (mayHaveRun) {
        sendGatewayResponse(statusIfMayHaveRun, "may-have-run", Duration::zero());
        recordEnd(RequestOutcome::Failed, reason, "");
    } else {
        refuse(unavailable, reason, retryAfter, "");
    }
}

void Exchange::callerDisconnected()
{
    m_sink = nullptr;
    cancelCall();
    recordEnd(RequestOutcome::Abandoned, "caller-left", "");
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

std::string_view Exchange::promptParts() const
{
    return viewOf(m_request[m_core.adapter.dialect().promptParts]);
}

PromptBeginnings Exchange::prompt() const
{
    const auto customer = m_customer == nullptr ? std::string_view() : m_customer->name.text();
    return promptBeginnings(promptParts(), customer, viewOf(m_request[m_core.adapter.dialect().model]));
}

void Exchange::sendPrompt(const Placement &placement)
{
    if (!m_core.promptSavings.isPossible(m_service)) {
        return;
    }
    const auto parts = prompt();
    m_core.promptSavings.requestSent(placement.engine, parts, m_sentAt);
    m_promptTokens = parts.empty() ? 0 : parts.back().tokens;
    m_heldTokens = placement.heldTokens;
    m_core.metrics.promptSent(m_service, m_promptTokens, m_heldTokens, placement.isForHeldPrompt);
}

void Exchange::recordEnd(RequestOutcome outcome, const std::string &reason, const std::string &detail)
{
    m_timer.cancel();
    m_memoryTimer.cancel();
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
         {"version", std::string_view(m_lastVersion)},
         {"resumes", viewOf(m_request[m_core.adapter.dialect().resumes])},
         {"last_event", viewOf(m_request[m_core.adapter.dialect().lastEventId])},
         {"known_by", std::string_view(m_streamSource)},
         {"told", std::string_view(m_streamHolders)},
         {"sends", static_cast<std::int64_t>(m_attempts)},
         {"events", static_cast<std::int64_t>(m_eventSplitter.eventCount())},
         {"status", static_cast<std::int64_t>(m_responseHead.status)},
         {"first_ms", m_firstBytesAt == TimePoint() ? -1 : milliseconds(m_firstBytesAt - m_arrivedAt)},
         {"pause_ms", milliseconds(m_maxEventGap)},
         {"after_ms", milliseconds(now - m_arrivedAt)},
         {"left_ms", milliseconds(timeLeft())},
         {"load_percent", static_cast<std::int64_t>(m_loadAtPlacement * 100)},
         {"held_tokens", static_cast<std::int64_t>(m_heldTokens)},
         {"revision", static_cast<std::int64_t>(m_configuration ? m_configuration->configuration->revision : 0)},
         {"proof_age_ms", proofAge ? milliseconds(*proofAge) : std::int64_t {-1}}});
}

} // namespace monsoonward
