#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Chooses the Retry-After of refused callers so that their resends come back spread, and in total at most as a
/// small part of what the entry completes.
class RetryAfterCalculator
{
public:
    RetryAfterCalculator(const Clock &clock, Random &random);

    void onCompleted();
    /// @return when the refused caller should come back
    Duration retryAfter();

private:
    void decayRates();

    const Clock &m_clock;
    Random &m_random;
    double m_completionsPerSecond = 0; // a second
    double m_refusalsPerSecond = 0; // a second
    TimePoint m_updatedAt;
};

} // namespace monsoonward
