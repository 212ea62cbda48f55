#include "monsoonward/dispatch/retryallowance.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr int slotsPerWindow = 20; // resolution of the sliding window
// Fraction of the budget that is used. The rest is a margin, because the daemons' time slots begin at different times.
constexpr double usableFraction = 0.75;

} // namespace

RetryBudgetShare::RetryBudgetShare(const RetryBudgetLimits &limits, TimePoint startTime)
    : m_limits(limits)
    , m_startTime(startTime)
{
}

RetryBudgetShare::TimeSlot &RetryBudgetShare::slotAt(const ServiceName &service, TimePoint now)
{
    auto &slots = m_slots[service];
    while (!slots.empty() && now - slots.front().start > m_limits.window + m_limits.window / slotsPerWindow) {
        slots.pop_front();
    }
    if (slots.empty() || now - slots.back().start >= m_limits.window / slotsPerWindow) {
        slots.push_back({now, 0, 0});
    }
    return slots.back();
}

void RetryBudgetShare::recordRequest(const ServiceName &service, TimePoint now)
{
    ++slotAt(service, now).requests;
}

double RetryBudgetShare::remaining(const ServiceName &service, std::size_t daemons, TimePoint now)
{
    slotAt(service, now); // removes expired slots
    double requests = 0;
    double retries = 0;
    for (const auto &it : m_slots[service]) {
        requests += it.requests;
        retries += it.retries;
    }
    const std::chrono::duration<double> uptime = now - m_startTime;
    const std::chrono::duration<double> window = m_limits.window;
    const double earnedFraction = std::min(1.0, uptime / window);
    const double slack = m_limits.slack / static_cast<double>(std::max<std::size_t>(daemons, 1)) * earnedFraction;
    return usableFraction * (m_limits.ratio * requests + slack) - retries;
}

bool RetryBudgetShare::take(const ServiceName &service, std::size_t daemons, TimePoint now)
{
    if (remaining(service, daemons, now) < 1) {
        return false;
    }
    ++slotAt(service, now).retries;
    return true;
}

} // namespace monsoonward
