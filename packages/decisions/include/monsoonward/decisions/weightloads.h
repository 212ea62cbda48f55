#pragma once

#include "monsoonward/decisions/lease.h"

#include <memory>
#include <vector>

namespace monsoonward
{

/// @brief Limits how many daemons load model weights from the weight store at the same time. Each permit is a lease in
/// the table service, so the limit applies to the whole fleet without a coordinator.
class WeightLoadPermit
{
public:
    /// @param permits how many loads the weight store's rate limit allows at once, in the whole fleet
    WeightLoadPermit(
        unsigned permits, const Peer &own, const Clock &clock, Random &random, TableService &table, EventLog &events);

    /// Starts to try the permits one after the other until it holds one.
    void acquire();
    void release();
    /// Compares the lease's expiry with the monotonic clock. @return whether a load may start or continue
    bool held() const;
    /// Runs timers. Must be called at least every 100 ms of the clock.
    void tick();

private:
    const Clock &m_clock;
    Random &m_random;
    std::vector<std::unique_ptr<Lease>> m_permits;
    std::size_t m_current = 0; // index of the permit that is held or being acquired
    bool m_wanted = false;
    TimePoint m_currentSince {};
};

} // namespace monsoonward
