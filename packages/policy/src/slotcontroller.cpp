#include "slotcontroller.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::uint32_t uncalibratedMaxRequests = 4; // while the engine's speed is unknown

// After this many completions without tokens the service counts as plain (it reports no tokens). The speed of its
// engine stays unknown, so the limit above doesn't apply.
constexpr std::uint32_t plainServiceThreshold = 4;

// A typical request of a higher tier may spend this share of its spare time (time to its deadline minus minimum service
// time) because of the load.
constexpr double headroomShare = 0.5;

// A request must start now if its estimated time, multiplied by this, exceeds the time left.
constexpr double mustStartFactor = 1.3;

// A request is expected to generate at least this share of its tokens so far in addition, even if that exceeds the
// expected output.
constexpr double minRemainingShare = 0.5;

constexpr double defaultBatch = 16; // if the engine's batch size is not configured

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

SlotController::SlotController(const Clock &clock, const OutputLengthEstimator &outputs)
    : m_clock(clock)
    , m_outputLengths(outputs)
{
}

void SlotController::configure(const EngineSpec &spec)
{
    m_spec = spec;
    m_cache.setMaxBlocks(spec.cacheTokens / prefixBlockTokens);
}

void SlotController::setAvailable(bool available)
{
    if (!available) {
        m_cache.clear();
    }
    m_available = available;
}

void SlotController::setInheritedRequests(std::uint32_t running)
{
    m_inheritedRequests = running;
}

bool SlotController::isAvailable() const
{
    return m_available;
}

bool SlotController::canPlace(const Candidate &candidate, const std::vector<TierProfile> &profiles) const
{
    if (!m_available || running() >= maxRequests()) {
        return false;
    }
    const double seconds = secondsToFinish(candidate);
    if (m_speed.isCalibrated() && seconds > secondsUntil(candidate.deadline)) {
        return false;
    }
    const double prefill = candidate.reserve.promptTokens - candidate.cachedTokens;
    const double prefillSeconds = prefill / m_speed.prefillTokensPerSecond();
    const bool mustStartNow = m_mustStartNowCount == 0 && seconds * mustStartFactor > secondsUntil(candidate.deadline);
    return keepsDeadlines(candidate, prefillSeconds)
        && (mustStartNow || leavesHeadroom(candidate, prefillSeconds, profiles));
}

double SlotController::secondsToFinish(const Candidate &candidate) const
{
    const double prefill = candidate.reserve.promptTokens - candidate.cachedTokens;
    return prefillBacklogSeconds() + prefill / m_speed.prefillTokensPerSecond()
        + candidate.outputTokens * m_speed.decodeStepSeconds(running() + 1);
}

bool SlotController::keepsDeadlines(const Candidate &candidate, double prefillSeconds) const
{
    const double before = m_speed.decodeStepSeconds(running());
    const double after = m_speed.decodeStepSeconds(running() + 1);
    const double backlog = prefillBacklogSeconds();
    const double prefillDelay = prefillSeconds / 2; // decoding runs at half speed during a prefill
    for (const auto &[id, it] : m_requests) {
        if (candidate.reserve.tier.isHigherThan(it.tier)) {
            continue;
        }
        const double left = secondsUntil(it.deadline);
        const double tokens = std::max(it.outputTokensP95 - it.generatedTokens, it.generatedTokens * minRemainingShare);
        const double prefillWait = it.decoding ? 0 : backlog;
        const bool inTime = prefillWait + tokens * before <= left;
        if (inTime && prefillWait + prefillDelay + tokens * after > left) {
            return false;
        }
    }
    return true;
}

bool SlotController::leavesHeadroom(const Candidate &candidate,
                                    double prefillSeconds,
                                    const std::vector<TierProfile> &profiles) const
{
    const double backlog = prefillBacklogSeconds() + prefillSeconds;
    for (const auto &it : profiles) {
        if (!it.tier.isHigherThan(candidate.reserve.tier)) {
            continue;
        }
        const double prefill = it.promptTokens / m_speed.prefillTokensPerSecond();
        const double minSeconds = prefill + it.outputTokens * m_speed.decodeStepSeconds(1);
        const double allowed = minSeconds + (it.secondsToDeadline - minSeconds) * headroomShare;
        const bool possible = minSeconds <= it.secondsToDeadline;
        const double needed = backlog + prefill + it.outputTokens * m_speed.decodeStepSeconds(running() + 2);
        const bool slotLeft = running() + 2 <= maxRequests();
        if (possible && (needed > allowed || !slotLeft)) {
            return false;
        }
    }
    return true;
}

void SlotController::place(const Candidate &candidate)
{
    PlacedRequest request;
    request.tier = candidate.reserve.tier;
    request.outputTokensP95 = m_outputLengths.percentile95(candidate.reserve.tier, candidate.reserve.customer);
    request.deadline = candidate.deadline;
    request.promptTokens = candidate.reserve.promptTokens;
    request.prefillTokens = candidate.reserve.promptTokens - candidate.cachedTokens;
    request.dispatchedAt = m_clock.now();
    request.mustStartNow = secondsToFinish(candidate) * mustStartFactor > secondsUntil(candidate.deadline);
    m_mustStartNowCount += request.mustStartNow ? 1 : 0;
    m_prefillTokensWaiting += request.prefillTokens;
    m_requests[candidate.reserve.id] = request;
}

void SlotController::onClaimReleased(const RequestId &id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    if (it->second.decoding) {
        --m_decodingCount;
    } else {
        m_prefillTokensWaiting -= it->second.prefillTokens;
    }
    m_mustStartNowCount -= it->second.mustStartNow ? 1 : 0;
    m_requests.erase(it);
}

void SlotController::onDispatched(const RequestId &id)
{
    const auto it = m_requests.find(id);
    if (it != m_requests.end()) {
        it->second.dispatchedAt = m_clock.now();
    }
}

void SlotController::onFirstToken(const RequestId &id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.decoding) {
        return;
    }
    auto &request = it->second;
    request.decoding = true;
    request.prefillStartedAt = std::max(request.dispatchedAt, m_lastFirstTokenAt);
    request.firstTokenAt = m_clock.now();
    request.lastTokenAt = request.firstTokenAt;
    m_lastFirstTokenAt = request.firstTokenAt;
    m_prefillTokensWaiting -= request.prefillTokens;
    ++m_decodingCount;
}

void SlotController::onTokens(const RequestId &id, std::uint32_t count)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || count == 0) {
        return;
    }
    auto &request = it->second;
    const auto now = m_clock.now();
    if (request.decoding && now > request.lastTokenAt) {
        m_speed.recordDecodeStep(m_decodingCount, secondsOf(now - request.lastTokenAt) / count);
    }
    request.generatedTokens += count;
    request.lastTokenAt = now;
}

void SlotController::onFinished(const RequestId &id, const RunStats &stats)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    const auto &request = it->second;
    const bool measured = !stats.failed && request.decoding && stats.promptTokens > stats.cachedTokens;
    if (measured) {
        m_speed.recordPrefill(stats.promptTokens - stats.cachedTokens, request.firstTokenAt - request.prefillStartedAt);
    }
    m_tokenlessCompletions += !stats.failed && stats.outputTokens == 0 ? 1 : 0;
    onClaimReleased(id);
}

std::uint32_t SlotController::running() const
{
    return static_cast<std::uint32_t>(m_requests.size()) + m_inheritedRequests;
}

std::uint32_t SlotController::freeSlots() const
{
    return m_available && maxRequests() > running() ? maxRequests() - running() : 0;
}

const EngineSpeed &SlotController::speed() const
{
    return m_speed;
}

double SlotController::prefillBacklogSeconds() const
{
    if (m_requests.size() == m_decodingCount) {
        return 0;
    }
    return std::max(0.0, m_prefillTokensWaiting) / m_speed.prefillTokensPerSecond();
}

PrefixIndex &SlotController::cache()
{
    return m_cache;
}

const PrefixIndex &SlotController::cache() const
{
    return m_cache;
}

double SlotController::secondsUntil(TimePoint deadline) const
{
    return secondsOf(deadline - m_clock.now());
}

std::uint32_t SlotController::maxRequests() const
{
    const auto batch = m_spec.maxBatch == 0 ? static_cast<std::uint32_t>(defaultBatch) : m_spec.maxBatch;
    const bool plain = m_tokenlessCompletions >= plainServiceThreshold;
    return plain || m_speed.isCalibrated() ? batch : std::min(batch, uncalibratedMaxRequests);
}

} // namespace monsoonward
