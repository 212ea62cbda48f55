#pragma once

#include "fakeengine.h"
#include "tally.h"

#include <memory>

namespace monsoonward::bench
{

/// @brief The simulated engines of a workload. Schedules their faults: slowdowns, crashes and restarts.
class Fleet
{
public:
    Fleet(const Workload &workload, EventQueue &queue, EngineListener &listener);

    std::size_t size() const;
    FakeEngine &engine(std::size_t index);
    const FakeEngine &engine(std::size_t index) const;
    const std::string &regionOf(std::size_t index) const;
    /// @return the length in blocks of the longest prefix of @p job that any running engine has cached
    std::size_t bestCachedBlocks(const Job &job) const;
    std::uint64_t prefilledTokens() const;
    /// @return the regions of the workload, at least one; the first is that of engines without a region
    const std::vector<std::string> &regions() const;

private:
    void scheduleFaults(const Workload &workload, EventQueue &queue);
    std::vector<std::size_t> enginesOfGroup(const std::string &group, std::size_t count) const;

    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::string> m_regions;
};

/// @brief Simulates message delays: a fixed delay inside a region; latency and limited bandwidth between regions.
class Network
{
public:
    Network(const Workload &workload, EventQueue &queue);
    /// Schedules @p deliver after the message's delay. A message to another region is dropped while the link is cut.
    void send(const std::string &from, const std::string &to, std::size_t bytes, std::function<void()> deliver);
    bool isCut() const;
    bool canReach(const std::string &from, const std::string &to) const;
    std::uint64_t messages() const;
    std::uint64_t crossRegionBytes() const;

private:
    const Workload &m_workload;
    EventQueue &m_queue;
    TimePoint m_start;
    std::map<std::pair<std::string, std::string>, TimePoint>
        m_linkFreeAt; // when the sender's last byte leaves, by sender's and receiver's region
    std::uint64_t m_messages = 0;
    std::uint64_t m_crossRegionBytes = 0;
};

} // namespace monsoonward::bench
