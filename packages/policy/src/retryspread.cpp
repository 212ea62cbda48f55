#include "retryspread.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double rateTimeConstantSeconds = 10;
constexpr double maxResendShare = 0.1; // resends as a share of the completed requests
constexpr double minWindowSeconds = 1;
constexpr double maxWindowSeconds = 120;

} // namespace

RetryAfterCalculator::RetryAfterCalculator(const Clock &clock, Random &random)
    : m_clock(clock)
    , m_random(random)
    , m_updatedAt(clock.now())
{
}

void RetryAfterCalculator::onCompleted()
{
    decayRates();
    m_completionsPerSecond += 1 / rateTimeConstantSeconds;
}

Duration RetryAfterCalculator::retryAfter()
{
    decayRates();
    m_refusalsPerSecond += 1 / rateTimeConstantSeconds;
    const double budget =
        std::max(1 / rateTimeConstantSeconds, m_completionsPerSecond * maxResendShare); // resends per second
    // Time that the recently refused callers need to resend within the budget.
    const double window =
        std::clamp(m_refusalsPerSecond * rateTimeConstantSeconds / budget, minWindowSeconds, maxWindowSeconds);
    const double seconds = window * (0.5 + m_random.nextDouble());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void RetryAfterCalculator::decayRates()
{
    const auto now = m_clock.now();
    const double factor = std::exp(-std::chrono::duration<double>(now - m_updatedAt).count() / rateTimeConstantSeconds);
    m_completionsPerSecond *= factor;
    m_refusalsPerSecond *= factor;
    m_updatedAt = now;
}

} // namespace monsoonward
