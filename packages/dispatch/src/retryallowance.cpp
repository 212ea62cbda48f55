#include "monsoonward/dispatch/retryallowance.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr int stepsPerWindow = 20; // resolution of the sliding window
constexpr double usedPart = 0.75; // of the budget; the rest covers requests that other daemons count in other windows

} // namespace

RetryBudgetShare::RetryBudgetShare(const RetryBudgetLimits &bounds, TimePoint started)
    : m_bounds(bounds)
    , m_started(started)
{
}

RetryBudgetShare::Step &RetryBudgetShare::stepAt(const ServiceName &service, TimePoint now)
{
    auto &steps = m_steps[service];
    while (!steps.empty() && now - steps.front().start > m_bounds.window + m_bounds.window / stepsPerWindow) {
        steps.pop_front();
    }
    if (steps.empty() || now - steps.back().start >= m_bounds.window / stepsPerWindow) {
        steps.push_back({now, 0, 0});
    }
    return steps.back();
}

void RetryBudgetShare::recordRequest(const ServiceName &service, TimePoint now)
{
    ++stepAt(service, now).requests;
}

double RetryBudgetShare::remaining(const ServiceName &service, std::size_t daemons, TimePoint now)
{
    stepAt(service, now);
    double requests = 0;
    double retries = 0;
    for (const auto &it : m_steps[service]) {
        requests += it.requests;
        retries += it.retries;
    }
    const std::chrono::duration<double> lived = now - m_started;
    const std::chrono::duration<double> window = m_bounds.window;
    const double earned = std::min(1.0, lived / window);
    const double slack = m_bounds.slack / static_cast<double>(std::max<std::size_t>(daemons, 1)) * earned;
    return usedPart * (m_bounds.ratio * requests + slack) - retries;
}

bool RetryBudgetShare::take(const ServiceName &service, std::size_t daemons, TimePoint now)
{
    if (remaining(service, daemons, now) < 1) {
        return false;
    }
    ++stepAt(service, now).retries;
    return true;
}

} // namespace monsoonward
