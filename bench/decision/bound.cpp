#include "runs.h"

#include <algorithm>

namespace monsoonward::bench
{

namespace
{

/// @brief Total rates of all engines at full batches, and the rates of the fastest engine.
struct Capacity
{
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    double fastestPrefill = 0;
    double fastestDecode = 0;
};

Capacity capacityOf(const Workload &workload)
{
    Capacity sum;
    for (const auto &it : workload.engines) {
        const auto batch = static_cast<double>(it.maxBatch);
        const auto count = static_cast<double>(it.count);
        const double batched = batch * it.decodeTokensPerSecond / (1 + it.batchSlowdown * (batch - 1));
        sum.prefillTokensPerSecond += count * it.prefillTokensPerSecond;
        sum.decodeTokensPerSecond += count * std::max(batched, it.decodeTokensPerSecond);
        sum.fastestPrefill = std::max(sum.fastestPrefill, it.prefillTokensPerSecond);
        sum.fastestDecode = std::max(sum.fastestDecode, it.decodeTokensPerSecond);
    }
    return sum;
}

/// Counts a shared prefix as cached on every engine, so that the bound holds for any placement.
/// @return prompt tokens that must be computed at least
std::uint32_t uncachedPromptTokens(const Job &job, const Workload &workload)
{
    for (const auto &it : workload.tiers) {
        if (it.tier == job.tier && it.prefixes > 0) {
            const auto shared = std::min<std::uint32_t>(job.promptTokens, static_cast<std::uint32_t>(it.prefixTokens));
            return job.promptTokens - shared;
        }
    }
    return job.promptTokens;
}

} // namespace

std::vector<TierTally> completionBounds(const Workload &workload, std::uint64_t seed)
{
    const auto capacity = capacityOf(workload);
    const TimePoint start {};
    const auto jobs = makeTrace(workload, start, seed);
    std::vector<TierTally> bound;
    for (const auto &tier : workload.tiers) {
        TierTally tally;
        tally.tier = tier.tier;
        std::vector<double> costs; // seconds of the whole fleet's time, by request
        for (const auto &it : jobs) {
            if (it.tier != tier.tier) {
                continue;
            }
            ++tally.offered;
            const double prompt = uncachedPromptTokens(it, workload);
            const double minimumSeconds = prompt / capacity.fastestPrefill + it.outputTokens / capacity.fastestDecode;
            if (minimumSeconds * 1000 <= tier.deadline) {
                // Decoding runs at half speed during a prefill, so a prefill costs half of its duration.
                const double decode = it.outputTokens / capacity.decodeTokensPerSecond;
                costs.push_back(decode + prompt / capacity.prefillTokensPerSecond / 2);
            }
        }
        std::sort(costs.begin(), costs.end());
        double secondsLeft = (workload.duration + tier.deadline) / 1000;
        for (const auto cost : costs) {
            secondsLeft -= cost;
            tally.withinDeadline += secondsLeft >= 0 ? 1 : 0;
        }
        tally.completed = tally.withinDeadline;
        bound.push_back(tally);
    }
    return bound;
}

Duration runDuration(const Workload &workload)
{
    Millis longest = 0;
    for (const auto &it : workload.tiers) {
        longest = std::max(longest, it.deadline);
    }
    return fromMillis(workload.duration + 2 * longest);
}

} // namespace monsoonward::bench
