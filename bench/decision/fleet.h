#pragma once

#include "fakeengine.h"
#include "tally.h"

#include <memory>

namespace monsoonward::bench
{

/// @brief The fake engines of a workload with their faults, and the link between the regions.
class Fleet
{
public:
    Fleet(const Workload &workload, EventQueue &queue, EngineListener &listener);

    std::size_t size() const;
    FakeEngine &engine(std::size_t index);
    const FakeEngine &engine(std::size_t index) const;
    const std::string &regionOf(std::size_t index) const;
    /// @return the most leading blocks of @p job that any engine in service holds
    std::size_t bestCachedBlocks(const Job &job) const;
    std::uint64_t prefilledTokens() const;
    /// Regions of the workload; the first is the default.
    const std::vector<std::string> &regions() const;

private:
    void scheduleFaults(const Workload &workload, EventQueue &queue);
    std::vector<std::size_t> members(const std::string &group, std::size_t count) const;

    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::string> m_regions;
};

/// @brief Delay of messages, inside a region and over the narrow link.
class Network
{
public:
    Network(const Workload &workload, EventQueue &queue);
    /// Runs @p deliver at the receiver after the message's delay; drops it when the link is cut.
    void send(const std::string &from, const std::string &to, std::size_t bytes, std::function<void()> deliver);
    bool isCut() const;
    bool reaches(const std::string &from, const std::string &to) const;
    std::uint64_t messages() const;
    std::uint64_t crossRegionBytes() const;

private:
    const Workload &m_workload;
    EventQueue &m_queue;
    TimePoint m_start;
    std::map<std::pair<std::string, std::string>, TimePoint> m_linkFree; // when the last byte has left
    std::uint64_t m_messages = 0;
    std::uint64_t m_crossRegionBytes = 0;
};

} // namespace monsoonward::bench
