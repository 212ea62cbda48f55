#pragma once

#include "trace.h"

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward::bench
{

/// @brief Number of requests of one tier by outcome.
struct TierTally
{
    unsigned tier = 0;
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t withinDeadline = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0; ///< because an engine or entry that had the request crashed
};

/// @brief Results of one policy on one workload.
struct Report
{
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<TierTally> tiers;
    std::uint64_t prefillTokens = 0;
    std::uint64_t wastedPrefillTokens = 0;
    std::uint64_t orderViolations = 0;
    std::uint64_t doubleDispatches = 0;
    std::uint64_t decisions = 0;
    double decisionSeconds = 0;
    std::uint64_t messages = 0;
    std::uint64_t crossRegionBytes = 0;
};

/// @brief Counts the outcomes of the requests of a run. Only the first outcome of a request counts.
class Tally
{
public:
    Tally(const std::vector<Job> &jobs, const std::string &policy, std::uint64_t seed);

    void dispatched(const Job &job);
    /// @param prefilledTokens prompt tokens that the engine computed
    /// @param recomputedTokens those of them that some engine had cached when the request was placed; they count as
    /// wasted, and so do all @p prefilledTokens of a request that misses its deadline
    void completed(const Job &job, TimePoint at, std::uint32_t prefilledTokens, std::uint32_t recomputedTokens);
    void lost(const Job &job, std::uint32_t prefilledTokens);
    /// An engine stopped the request because the entry cancelled it. Counts wasted tokens only; the outcome comes with
    /// refused().
    void cancelled(std::uint32_t prefilledTokens);
    void refused(const Job &job, RefusalReason reason);
    Report &report();

private:
    TierTally &tallyOfTier(const Job &job);
    /// @return whether this is the first outcome of @p job
    bool markSettled(const Job &job);

    Report m_report;
    std::vector<bool> m_dispatched;
    std::vector<bool> m_settled;
};

} // namespace monsoonward::bench
