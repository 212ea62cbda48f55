#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Chooses the Retry-After of refused callers so that their resends come back spread, and in total at most as a
/// small part of what the entry completes.
class RetrySpread
{
public:
    RetrySpread(const Clock &clock, Random &random);

    void completed();
    /// @return when the refused caller should come back
    Duration retryAfter();

private:
    void decay();

    const Clock &m_clock;
    Random &m_random;
    double m_completed = 0; // a second
    double m_refused = 0; // a second
    TimePoint m_at;
};

} // namespace monsoonward
