#include "trace.h"

#include <monsoonward/policy/policy.h>

#include <algorithm>
#include <cmath>

namespace monsoonward::bench
{

namespace
{

double logUniform(Random &random, double low, double high)
{
    return low * std::pow(high / low, random.nextDouble());
}

PrefixHash blockHash(std::uint64_t a, std::uint64_t b, std::uint64_t c)
{
    std::uint64_t n = a * 0x9e3779b97f4a7c15ULL + b * 0xff51afd7ed558ccdULL + c * 0xc4ceb9fe1a85ec53ULL + 1;
    n ^= n >> 31U;
    n *= 0xbf58476d1ce4e5b9ULL;
    return n ^ (n >> 29U);
}

double rateAt(const Workload &workload, const TierTraffic &tier, Millis at)
{
    double rate = tier.ratePerSecond;
    for (const auto &it : workload.bursts) {
        if (it.tier == tier.tier && at >= it.at && at < it.at + it.length) {
            rate *= it.factor;
        }
    }
    return rate;
}

double peakRate(const Workload &workload, const TierTraffic &tier)
{
    double rate = tier.ratePerSecond;
    for (const auto &it : workload.bursts) {
        rate *= it.tier == tier.tier ? std::max(1.0, it.factor) : 1.0;
    }
    return rate;
}

std::size_t pickCustomer(const TierTraffic &tier, Random &random)
{
    const double draw = random.nextDouble();
    if (tier.customers == 1 || draw < tier.largestCustomerShare) {
        return 0;
    }
    return tier.largestCustomerShare > 0 ? 1 + random.nextBelow(tier.customers - 1) : random.nextBelow(tier.customers);
}

Job makeJob(const TierTraffic &tier, TimePoint arrival, Random &random)
{
    Job job;
    job.arrival = arrival;
    job.deadline = arrival + fromMillis(tier.deadline);
    job.tier = tier.tier;
    job.region = tier.region;
    job.customer = CustomerName("customer-" + std::to_string(pickCustomer(tier, random)));
    job.promptTokens = static_cast<std::uint32_t>(logUniform(random, tier.promptMin, tier.promptMax));
    job.outputTokens = static_cast<std::uint32_t>(logUniform(random, tier.outputMin, tier.outputMax));
    const bool shares = tier.prefixes > 0 && random.nextDouble() < tier.prefixShare;
    const std::size_t prefix = random.nextBelow(tier.prefixes);
    const std::uint64_t uniqueKey = random.next();
    const std::size_t sharedBlocks = shares ? tier.prefixTokens / prefixBlockTokens : 0;
    for (std::size_t n = 0; n < job.promptTokens / prefixBlockTokens; ++n) {
        job.blocks.push_back(n < sharedBlocks ? blockHash(tier.tier, prefix, n) : blockHash(uniqueKey, 0, n));
    }
    job.balance = random.next();
    return job;
}

} // namespace

std::vector<Job> makeTrace(const Workload &workload, TimePoint start, std::uint64_t seed)
{
    // Thinning: draws arrivals at the peak rate and keeps each with the probability of current rate to peak rate.
    std::vector<Job> jobs;
    for (const auto &tier : workload.tiers) {
        SeededRandom random(seed * 1000003 + tier.tier);
        const double peak = peakRate(workload, tier);
        if (peak <= 0) {
            continue;
        }
        Millis at = 0;
        while (true) {
            at += -std::log(1.0 - random.nextDouble()) / peak * 1000.0;
            if (at >= workload.duration) {
                break;
            }
            const bool kept = random.nextDouble() * peak < rateAt(workload, tier, at);
            if (kept) {
                jobs.push_back(makeJob(tier, start + fromMillis(at), random));
            }
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const Job &a, const Job &b) { return a.arrival < b.arrival; });
    for (std::size_t n = 0; n < jobs.size(); ++n) {
        jobs[n].index = n;
    }
    return jobs;
}

} // namespace monsoonward::bench
