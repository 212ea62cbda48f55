#pragma once

#include "monsoonward/decisions/lease.h"

#include <memory>
#include <vector>

namespace monsoonward
{

/// @brief A permit to read from the weight store. There are as many as loads that the store's rate limit allows at
/// once, each one a lease of the table, so the limit holds across all daemons without a coordinator.
class WeightLoadPermit
{
public:
    /// @param permits number of permits in the fleet
    WeightLoadPermit(
        unsigned permits, const Peer &own, const Clock &clock, Random &random, TableService &table, EventLog &events);

    /// Looks for a free permit until it holds one.
    void acquire();
    void release();
    /// Checked on the monotonic clock right here. @return whether a load may go on
    bool held() const;
    /// Runs timers; called at least every 100 ms of the clock.
    void tick();

private:
    const Clock &m_clock;
    Random &m_random;
    std::vector<std::unique_ptr<Lease>> m_permits;
    std::size_t m_current = 0; // the permit that is asked for now
    bool m_wanted = false;
    TimePoint m_currentSince {};
};

} // namespace monsoonward
