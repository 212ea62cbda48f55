#include "runs.h"

#include <algorithm>

namespace monsoonward::bench
{

namespace
{

/// @brief Rates of all engines together when each is as busy as it can be.
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

/// Shared prefixes count as cached everywhere, so that the bound holds for any placement.
std::uint32_t ownPromptTokens(const Job &job, const Workload &workload)
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

std::vector<TierTally> boundOf(const Workload &workload, std::uint64_t seed)
{
    const auto capacity = capacityOf(workload);
    const TimePoint start {};
    const auto jobs = makeTrace(workload, start, seed);
    std::vector<TierTally> bound;
    for (const auto &tier : workload.tiers) {
        TierTally tally;
        tally.tier = tier.tier;
        std::vector<double> costs; // seconds of the whole fleet
        for (const auto &it : jobs) {
            if (it.tier != tier.tier) {
                continue;
            }
            ++tally.offered;
            const double prompt = ownPromptTokens(it, workload);
            const double alone = prompt / capacity.fastestPrefill + it.outputTokens / capacity.fastestDecode;
            if (alone * 1000 <= tier.deadline) {
                // A prefill halves the decoding beside it, so it costs half of its own time.
                const double decode = it.outputTokens / capacity.decodeTokensPerSecond;
                costs.push_back(decode + prompt / capacity.prefillTokensPerSecond / 2);
            }
        }
        std::sort(costs.begin(), costs.end());
        double left = (workload.duration + tier.deadline) / 1000;
        for (const auto cost : costs) {
            left -= cost;
            tally.withinDeadline += left >= 0 ? 1 : 0;
        }
        tally.completed = tally.withinDeadline;
        bound.push_back(tally);
    }
    return bound;
}

Duration runLength(const Workload &workload)
{
    Millis longest = 0;
    for (const auto &it : workload.tiers) {
        longest = std::max(longest, it.deadline);
    }
    return fromMillis(workload.duration + 2 * longest);
}

} // namespace monsoonward::bench
