#include "fleet.h"

#include <algorithm>

namespace monsoonward::bench
{

namespace
{
constexpr Duration sameRegionDelay = std::chrono::milliseconds(1);

void addRegion(std::vector<std::string> &regions, const std::string &region)
{
    if (!region.empty() && std::find(regions.begin(), regions.end(), region) == regions.end()) {
        regions.push_back(region);
    }
}

} // namespace

Fleet::Fleet(const Workload &workload, EventQueue &queue, EngineListener &listener)
{
    for (const auto &group : workload.engines) {
        addRegion(m_regions, group.region);
        for (std::size_t n = 0; n < group.count; ++n) {
            m_engines.push_back(std::make_unique<FakeEngine>(m_engines.size(), group, queue, listener));
        }
    }
    for (const auto &tier : workload.tiers) {
        addRegion(m_regions, tier.region);
    }
    if (m_regions.empty()) {
        m_regions.emplace_back("local");
    }
    scheduleFaults(workload, queue);
}

std::size_t Fleet::size() const
{
    return m_engines.size();
}

FakeEngine &Fleet::engine(std::size_t index)
{
    return *m_engines[index];
}

const FakeEngine &Fleet::engine(std::size_t index) const
{
    return *m_engines[index];
}

const std::string &Fleet::regionOf(std::size_t index) const
{
    const auto &region = m_engines[index]->group().region;
    return region.empty() ? m_regions.front() : region;
}

std::size_t Fleet::bestCachedBlocks(const Job &job) const
{
    std::size_t best = 0;
    for (const auto &it : m_engines) {
        best = std::max(best, it->isUp() ? it->cache().cachedPrefixBlocks(job.blocks) : 0);
    }
    return best;
}

std::uint64_t Fleet::prefilledTokens() const
{
    std::uint64_t sum = 0;
    for (const auto &it : m_engines) {
        sum += it->prefilledTokens();
    }
    return sum;
}

const std::vector<std::string> &Fleet::regions() const
{
    return m_regions;
}

void Fleet::scheduleFaults(const Workload &workload, EventQueue &queue)
{
    const auto start = queue.now();
    for (const auto &it : workload.stragglers) {
        for (const auto index : enginesOfGroup(it.engines, it.count)) {
            queue.at(start + fromMillis(it.at), [this, index, it] { engine(index).setSlowdown(it.slowdown); });
            queue.at(start + fromMillis(it.at + it.length), [this, index] { engine(index).setSlowdown(1); });
        }
    }
    for (const auto &it : workload.crashes) {
        for (const auto index : enginesOfGroup(it.engines, it.count)) {
            queue.at(start + fromMillis(it.at), [this, index] { engine(index).crash(); });
            queue.at(start + fromMillis(it.at + it.restart), [this, index] { engine(index).restart(); });
        }
    }
}

std::vector<std::size_t> Fleet::enginesOfGroup(const std::string &group, std::size_t count) const
{
    std::vector<std::size_t> found;
    for (std::size_t n = 0; n < m_engines.size() && found.size() < count; ++n) {
        if (m_engines[n]->group().name == group) {
            found.push_back(n);
        }
    }
    return found;
}

Network::Network(const Workload &workload, EventQueue &queue)
    : m_workload(workload)
    , m_queue(queue)
    , m_start(queue.now())
{
}

void Network::send(const std::string &from, const std::string &to, std::size_t bytes, std::function<void()> deliver)
{
    ++m_messages;
    if (from == to) {
        m_queue.after(sameRegionDelay, std::move(deliver));
        return;
    }
    if (isCut()) {
        return;
    }
    m_crossRegionBytes += bytes;
    auto &free = m_linkFreeAt[{from, to}];
    const double bitsPerByte = 8;
    free = std::max(free, m_queue.now())
        + fromMillis(1000 * bitsPerByte * static_cast<double>(bytes) / m_workload.linkBitsPerSecond);
    m_queue.at(free + fromMillis(m_workload.linkOneWay), std::move(deliver));
}

bool Network::isCut() const
{
    const auto now = m_queue.now() - m_start;
    return m_workload.linkBitsPerSecond <= 0
        || std::any_of(m_workload.cuts.begin(), m_workload.cuts.end(), [now](const LinkCut &it) {
               return now >= fromMillis(it.at) && now < fromMillis(it.at + it.length);
           });
}

bool Network::canReach(const std::string &from, const std::string &to) const
{
    return from == to || !isCut();
}

std::uint64_t Network::messages() const
{
    return m_messages;
}

std::uint64_t Network::crossRegionBytes() const
{
    return m_crossRegionBytes;
}

} // namespace monsoonward::bench
