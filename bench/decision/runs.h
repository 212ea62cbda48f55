#pragma once

#include "fleet.h"

namespace monsoonward::bench
{

/// @return the names that runBaseline() accepts as a policy
const std::vector<std::string> &baselineNames();

/// Simulates a baseline policy: an entry assigns each request to an engine on arrival, and the engine queues it first
/// in, first out.
/// @param policy one of baselineNames()
/// @param seed of the arrivals and of the policy's random choices
Report runBaseline(const std::string &policy, const Workload &workload, std::uint64_t seed);

/// Simulates the daemon's own decision code: EntryMachine and TargetMachine, connected by messages with delays.
Report runMonsoonward(const Workload &workload, std::uint64_t seed);

/// Computes an upper bound for each tier, as if the whole fleet served this tier alone.
/// @return for each tier, the most requests that any policy could complete within their deadlines
std::vector<TierTally> completionBounds(const Workload &workload, std::uint64_t seed);

/// @return the simulated time of a run: the workload's duration plus twice the longest deadline, so that the last
/// requests can end
Duration runDuration(const Workload &workload);

/// @brief Adds the wall-clock time between its construction and destruction to Report::decisionSeconds.
class DecisionTimer
{
public:
    explicit DecisionTimer(Report &report)
        : m_report(report)
        , m_begin(std::chrono::steady_clock::now())
    {
    }
    ~DecisionTimer()
    {
        m_report.decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - m_begin).count();
    }
    DecisionTimer(const DecisionTimer &) = delete;
    DecisionTimer &operator=(const DecisionTimer &) = delete;

private:
    Report &m_report;
    std::chrono::steady_clock::time_point m_begin;
};

} // namespace monsoonward::bench
