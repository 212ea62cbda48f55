#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Computes the Retry-After of refused callers. It spreads their resends over time so that they stay a small
/// share of the rate at which the entry completes requests.
class RetryAfterCalculator
{
public:
    RetryAfterCalculator(const Clock &clock, Random &random);

    void onCompleted();
    /// Counts a refusal.
    /// @return how long the refused caller should wait
    Duration retryAfter();

private:
    void decayRates();

    const Clock &m_clock;
    Random &m_random;
    double m_completionsPerSecond = 0; // decays exponentially
    double m_refusalsPerSecond = 0; // decays exponentially
    TimePoint m_updatedAt;
};

} // namespace monsoonward
