#pragma once

#include "fleet.h"

namespace monsoonward::bench
{

/// @return the names of the baselines
const std::vector<std::string> &baselineNames();

/// Runs a baseline: each request goes to an engine when it arrives and queues there, first in, first out.
Report runBaseline(const std::string &policy, const Workload &workload, std::uint64_t seed);

/// Runs the daemon's decision code: EntryMachine and TargetMachine with message delays.
Report runMonsoonward(const Workload &workload, std::uint64_t seed);

/// @return for each tier alone, the most requests that any policy could complete in time by capacity
std::vector<TierTally> boundOf(const Workload &workload, std::uint64_t seed);

/// @return how long a run goes on, with time for the last requests
Duration runLength(const Workload &workload);

/// @brief Adds the processor time spent between construction and destruction to a sum.
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
