#pragma once

#include <monsoonward/values/values.h>

#include <deque>
#include <map>

namespace monsoonward
{

/// @brief Limits on the retries of a service from all daemons together, within any period of the window's length.
struct RetryBudgetLimits
{
    double ratio = 0.2; ///< retries per request
    double slack = 50; ///< additional retries, over all daemons
    Duration window = std::chrono::seconds(10);
    MONSOONWARD_FIELDS(ratio, slack, window)
};

/// @brief One daemon's share of the retry budget of each service. The shares add up to less than the limits: the ratio
/// applies to each daemon's own requests, and the slack is divided by the number of daemons. After a start, the share
/// of the slack grows from zero over one window, since the previous incarnation may have spent it.
class RetryBudgetShare
{
public:
    RetryBudgetShare(const RetryBudgetLimits &limits, TimePoint startTime);

    /// Counts a caller's request for @p service.
    void recordRequest(const ServiceName &service, TimePoint now);
    /// Takes one retry from the budget.
    /// @param daemons number of daemons that share the slack, this one included
    /// @return false if the budget is spent
    bool take(const ServiceName &service, std::size_t daemons, TimePoint now);
    /// @return retries that are left in the budget
    double remaining(const ServiceName &service, std::size_t daemons, TimePoint now);

private:
    struct TimeSlot
    {
        TimePoint start;
        double requests = 0;
        double retries = 0;
    };

    TimeSlot &slotAt(const ServiceName &service, TimePoint now);

    RetryBudgetLimits m_limits;
    TimePoint m_startTime;
    std::map<ServiceName, std::deque<TimeSlot>> m_slots;
};

} // namespace monsoonward
