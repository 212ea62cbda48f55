#include "tally.h"

#include <algorithm>

namespace monsoonward::bench
{

Tally::Tally(const std::vector<Job> &jobs, const std::string &policy, std::uint64_t seed)
    : m_dispatched(jobs.size())
    , m_settled(jobs.size())
{
    m_report.policy = policy;
    m_report.seed = seed;
    for (const auto &it : jobs) {
        ++tallyOfTier(it).offered;
    }
    std::sort(
        m_report.tiers.begin(), m_report.tiers.end(), [](const auto &a, const auto &b) { return a.tier < b.tier; });
}

void Tally::dispatched(const Job &job)
{
    if (m_dispatched[job.index]) {
        ++m_report.doubleDispatches;
    }
    m_dispatched[job.index] = true;
}

void Tally::completed(const Job &job, TimePoint at, std::uint32_t prefilledTokens, std::uint32_t recomputedTokens)
{
    const bool inTime = at <= job.deadline;
    m_report.wastedPrefillTokens += inTime ? recomputedTokens : prefilledTokens;
    if (markSettled(job)) {
        ++tallyOfTier(job).completed;
        tallyOfTier(job).withinDeadline += inTime ? 1 : 0;
    }
}

void Tally::lost(const Job &job, std::uint32_t prefilledTokens)
{
    m_report.wastedPrefillTokens += prefilledTokens;
    if (markSettled(job)) {
        ++tallyOfTier(job).lost;
    }
}

void Tally::cancelled(std::uint32_t prefilledTokens)
{
    m_report.wastedPrefillTokens += prefilledTokens;
}

void Tally::refused(const Job &job, RefusalReason reason)
{
    if (!markSettled(job)) {
        return;
    }
    auto &tier = tallyOfTier(job);
    if (isShed(reason)) {
        ++tier.shed;
    } else if (reason == RefusalReason::Expired) {
        ++tier.expired;
    } else if (reason == RefusalReason::TargetLost || reason == RefusalReason::EngineFailed) {
        ++tier.lost;
    } else {
        ++tier.refused;
    }
}

Report &Tally::report()
{
    return m_report;
}

TierTally &Tally::tallyOfTier(const Job &job)
{
    for (auto &it : m_report.tiers) {
        if (it.tier == job.tier) {
            return it;
        }
    }
    auto &added = m_report.tiers.emplace_back();
    added.tier = job.tier;
    return added;
}

bool Tally::markSettled(const Job &job)
{
    const bool first = !m_settled[job.index];
    m_settled[job.index] = true;
    return first;
}

} // namespace monsoonward::bench
