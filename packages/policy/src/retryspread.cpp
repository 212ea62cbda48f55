#include "retryspread.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double memorySeconds = 10;
constexpr double resendPart = 0.1; // of the completed requests
constexpr double shortestSeconds = 1;
constexpr double longestSeconds = 120;

} // namespace

RetrySpread::RetrySpread(const Clock &clock, Random &random)
    : m_clock(clock)
    , m_random(random)
    , m_at(clock.now())
{
}

void RetrySpread::completed()
{
    decay();
    m_completed += 1 / memorySeconds;
}

Duration RetrySpread::retryAfter()
{
    decay();
    m_refused += 1 / memorySeconds;
    const double budget = std::max(1 / memorySeconds, m_completed * resendPart); // resends a second
    const double window = std::clamp(m_refused * memorySeconds / budget, shortestSeconds, longestSeconds);
    const double seconds = window * (0.5 + m_random.nextDouble());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void RetrySpread::decay()
{
    const auto now = m_clock.now();
    const double factor = std::exp(-std::chrono::duration<double>(now - m_at).count() / memorySeconds);
    m_completed *= factor;
    m_refused *= factor;
    m_at = now;
}

} // namespace monsoonward
