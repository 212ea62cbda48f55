#include "slotcontroller.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::uint32_t unknownEngineSlots = 4; // until its speed is known
constexpr std::uint32_t knownPlainRequests = 4; // completed without tokens: a plain service, whose speed stays unknown
constexpr double roomPart = 0.5; // of a higher tier's time that a typical request may need
constexpr double lastChancePart = 1.3; // a request that needs so little less than is left must be placed now
constexpr double leastLeftPart = 0.5; // of the tokens made, once more came than expected
constexpr double defaultBatch = 16;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

SlotController::SlotController(const Clock &clock, const OutputEstimator &outputs)
    : m_clock(clock)
    , m_outputs(outputs)
{
}

void SlotController::configure(const EngineSpec &spec)
{
    m_spec = spec;
    m_cache.setMaxBlocks(spec.cacheTokens / prefixBlockTokens);
}

void SlotController::setUp(bool up)
{
    if (!up) {
        m_cache.clear();
    }
    m_up = up;
}

void SlotController::setFound(std::uint32_t running)
{
    m_found = running;
}

bool SlotController::isUp() const
{
    return m_up;
}

bool SlotController::fits(const Candidate &candidate, const std::vector<TierNeed> &needs) const
{
    if (!m_up || running() >= limit()) {
        return false;
    }
    const double seconds = secondsToFinish(candidate);
    if (m_speed.isKnown() && seconds > secondsLeft(candidate.deadline)) {
        return false;
    }
    const double prefill = candidate.reserve.promptTokens - candidate.cachedTokens;
    const double prefillSeconds = prefill / m_speed.prefillTokensPerSecond();
    const bool lastChance = m_lastChances == 0 && seconds * lastChancePart > secondsLeft(candidate.deadline);
    return protects(candidate, prefillSeconds) && (lastChance || leavesRoom(candidate, prefillSeconds, needs));
}

double SlotController::secondsToFinish(const Candidate &candidate) const
{
    const double prefill = candidate.reserve.promptTokens - candidate.cachedTokens;
    return prefillBacklog() + prefill / m_speed.prefillTokensPerSecond()
        + candidate.outputTokens * m_speed.stepSeconds(running() + 1);
}

bool SlotController::protects(const Candidate &candidate, double prefillSeconds) const
{
    const double before = m_speed.stepSeconds(running());
    const double after = m_speed.stepSeconds(running() + 1);
    const double backlog = prefillBacklog();
    const double slowed = prefillSeconds / 2; // decoding goes at half speed beside a prefill
    for (const auto &[id, it] : m_runs) {
        if (candidate.reserve.tier.isHigherThan(it.tier)) {
            continue;
        }
        const double left = secondsLeft(it.deadline);
        const double tokens = std::max(it.highOutput - it.made, it.made * leastLeftPart);
        const double waits = it.decoding ? 0 : backlog;
        const bool inTime = waits + tokens * before <= left;
        if (inTime && waits + slowed + tokens * after > left) {
            return false;
        }
    }
    return true;
}

bool SlotController::leavesRoom(const Candidate &candidate,
                                double prefillSeconds,
                                const std::vector<TierNeed> &needs) const
{
    const double backlog = prefillBacklog() + prefillSeconds;
    for (const auto &it : needs) {
        if (!it.tier.isHigherThan(candidate.reserve.tier)) {
            continue;
        }
        const double prefill = it.promptTokens / m_speed.prefillTokensPerSecond();
        const double alone = prefill + it.outputTokens * m_speed.stepSeconds(1);
        const double allowed = alone + (it.seconds - alone) * roomPart;
        const bool possible = alone <= it.seconds;
        const double needed = backlog + prefill + it.outputTokens * m_speed.stepSeconds(running() + 2);
        const bool slotLeft = running() + 2 <= limit();
        if (possible && (needed > allowed || !slotLeft)) {
            return false;
        }
    }
    return true;
}

void SlotController::place(const Candidate &candidate)
{
    Run run;
    run.tier = candidate.reserve.tier;
    run.highOutput = m_outputs.high(candidate.reserve.tier, candidate.reserve.customer);
    run.deadline = candidate.deadline;
    run.promptTokens = candidate.reserve.promptTokens;
    run.prefillTokens = candidate.reserve.promptTokens - candidate.cachedTokens;
    run.dispatchedAt = m_clock.now();
    run.lastChance = secondsToFinish(candidate) * lastChancePart > secondsLeft(candidate.deadline);
    m_lastChances += run.lastChance ? 1 : 0;
    m_prefillTokensWaiting += run.prefillTokens;
    m_runs[candidate.reserve.id] = run;
}

void SlotController::onClaimReleased(const RequestId &id)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end()) {
        return;
    }
    if (it->second.decoding) {
        --m_decoding;
    } else {
        m_prefillTokensWaiting -= it->second.prefillTokens;
    }
    m_lastChances -= it->second.lastChance ? 1 : 0;
    m_runs.erase(it);
}

void SlotController::onDispatched(const RequestId &id)
{
    const auto it = m_runs.find(id);
    if (it != m_runs.end()) {
        it->second.dispatchedAt = m_clock.now();
    }
}

void SlotController::onFirstToken(const RequestId &id)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end() || it->second.decoding) {
        return;
    }
    auto &run = it->second;
    run.decoding = true;
    run.prefillBegan = std::max(run.dispatchedAt, m_lastFirstToken);
    run.firstTokenAt = m_clock.now();
    run.lastTokenAt = run.firstTokenAt;
    m_lastFirstToken = run.firstTokenAt;
    m_prefillTokensWaiting -= run.prefillTokens;
    ++m_decoding;
}

void SlotController::tokens(const RequestId &id, std::uint32_t count)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end() || count == 0) {
        return;
    }
    auto &run = it->second;
    const auto now = m_clock.now();
    if (run.decoding && now > run.lastTokenAt) {
        m_speed.learnStep(m_decoding, secondsOf(now - run.lastTokenAt) / count);
    }
    run.made += count;
    run.lastTokenAt = now;
}

void SlotController::onFinished(const RequestId &id, const RunStats &stats)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end()) {
        return;
    }
    const auto &run = it->second;
    const bool measured = !stats.failed && run.decoding && stats.promptTokens > stats.cachedTokens;
    if (measured) {
        m_speed.learnPrefill(stats.promptTokens - stats.cachedTokens, run.firstTokenAt - run.prefillBegan);
    }
    m_tokenless += !stats.failed && stats.outputTokens == 0 ? 1 : 0;
    onClaimReleased(id);
}

std::uint32_t SlotController::running() const
{
    return static_cast<std::uint32_t>(m_runs.size()) + m_found;
}

std::uint32_t SlotController::freeSlots() const
{
    return m_up && limit() > running() ? limit() - running() : 0;
}

const EngineSpeed &SlotController::speed() const
{
    return m_speed;
}

double SlotController::prefillBacklog() const
{
    if (m_runs.size() == m_decoding) {
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

double SlotController::secondsLeft(TimePoint deadline) const
{
    return secondsOf(deadline - m_clock.now());
}

std::uint32_t SlotController::limit() const
{
    const auto batch = m_spec.maxBatch == 0 ? static_cast<std::uint32_t>(defaultBatch) : m_spec.maxBatch;
    const bool plain = m_tokenless >= knownPlainRequests;
    return plain || m_speed.isKnown() ? batch : std::min(batch, unknownEngineSlots);
}

} // namespace monsoonward
