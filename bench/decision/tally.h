#pragma once

#include "trace.h"

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward::bench
{

/// @brief What became of the requests of one tier.
struct TierTally
{
    unsigned tier = 0;
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t withinDeadline = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0; ///< in progress on an engine, or waiting at an entry, that crashed
};

/// @brief Result of one policy on one workload.
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

/// @brief Counts the outcomes of all requests of a run.
class Tally
{
public:
    Tally(const std::vector<Job> &jobs, const std::string &policy, std::uint64_t seed);

    void dispatched(const Job &job);
    /// @param recomputedTokens prompt tokens prefilled although an engine held them when the request was placed
    void completed(const Job &job, TimePoint at, std::uint32_t prefilledTokens, std::uint32_t recomputedTokens);
    void lost(const Job &job, std::uint32_t prefilledTokens);
    /// The request was stopped at its engine at the entry's wish; refused() tells its end.
    void cancelled(std::uint32_t prefilledTokens);
    void refused(const Job &job, RefusalReason reason);
    Report &report();

private:
    TierTally &tierOf(const Job &job);
    bool settle(const Job &job);

    Report m_report;
    std::vector<bool> m_dispatched;
    std::vector<bool> m_settled;
};

} // namespace monsoonward::bench
