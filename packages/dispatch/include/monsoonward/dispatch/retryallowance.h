#pragma once

#include <monsoonward/values/values.h>

#include <deque>
#include <map>

namespace monsoonward
{

/// @brief How many sends beyond the first a service may get from all daemons together, in any span of the window.
struct RetryBudgetLimits
{
    double ratio = 0.2; ///< for each request
    double slack = 50; ///< on top, over all daemons
    Duration window = std::chrono::seconds(10);
    MONSOONWARD_FIELDS(ratio, slack, window)
};

/// @brief One daemon's part of the retry budget of each service. The parts add up to less than the whole: the ratio
/// holds for each daemon's own requests, and the slack is divided by the number of daemons. A daemon that starts earns
/// its part of the slack over one window, since its former life may have spent it.
class RetryBudgetShare
{
public:
    RetryBudgetShare(const RetryBudgetLimits &bounds, TimePoint started);

    /// A caller's request for @p service has arrived.
    void recordRequest(const ServiceName &service, TimePoint now);
    /// Takes one retry from the budget.
    /// @param daemons that share the slack, this one included
    /// @return false when the budget is spent
    bool take(const ServiceName &service, std::size_t daemons, TimePoint now);
    /// @return retries that are left now
    double remaining(const ServiceName &service, std::size_t daemons, TimePoint now);

private:
    struct Step
    {
        TimePoint start;
        double requests = 0;
        double retries = 0;
    };

    Step &stepAt(const ServiceName &service, TimePoint now);

    RetryBudgetLimits m_bounds;
    TimePoint m_started;
    std::map<ServiceName, std::deque<Step>> m_steps;
};

} // namespace monsoonward
