#include "placement.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr std::size_t initialReservations = 2;
constexpr std::size_t maxReservations = 12;
constexpr Duration wideningInterval = std::chrono::milliseconds(50); // adds two more reservations each time

// With this many targets or more, rankTargets() looks at a random sample of them.
constexpr std::size_t fullScanLimit = 24;
constexpr std::size_t sampledTargets = 16;

// Shares of the time from when the request began to wait to its deadline:
constexpr double cacheWaitShare = 0.3; // how long a request prefers targets that have its prefix cached
constexpr double newPromptWaitShare = 0.03; // how long it prefers its rendezvous target if the first block isn't shared
constexpr double maxCachedServiceShare = 0.3; // a target with the prefix is not preferred if it needs longer

constexpr Duration bestSpeedMaxAge = std::chrono::milliseconds(100);
constexpr std::size_t maxTrackedBlocks = 262144; // beyond this the map of targets by block is rebuilt
constexpr double ownRegionWaitShare = 0.05; // share of the time to the deadline before other regions are used
constexpr std::size_t indexedBlocksPerTarget = 4096;
constexpr std::size_t maxRecordedBlocks = 65536;
constexpr double linkBytesPerSecond = 1e6;
constexpr double linkBurstBytes = 4e6;

// Assumed for targets that have not measured their speed yet.
constexpr double defaultPrefillTokensPerSecond = 4000;
constexpr double defaultDecodeTokensPerSecond = 40;

constexpr double slowdownPerRequest = 0.05; // fraction of a decode step that each further request adds

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool isListed(const std::vector<TargetName> &list, const TargetName &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

std::uint64_t rendezvousHash(std::uint64_t nameHash, PrefixHash block)
{
    std::uint64_t n = nameHash ^ (block * 0x9e3779b97f4a7c15ULL);
    n ^= n >> 32U;
    n *= 0xff51afd7ed558ccdULL;
    return n ^ (n >> 29U);
}

} // namespace

Placement::Placement(const RegionName &region, const Clock &clock, Random &random)
    : m_region(region)
    , m_clock(clock)
    , m_random(random)
    , m_seenBlocks(maxRecordedBlocks)
    , m_sharedBlocks(maxRecordedBlocks)
    , m_linkBudget(clock, linkBytesPerSecond, linkBurstBytes)
{
}

void Placement::configure(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
}

void Placement::onTargetStatus(const TargetStatus &status)
{
    auto [it, added] = m_targets.try_emplace(status.target);
    auto &target = it->second;
    if (added) {
        target.name = status.target;
        target.nameHash = std::hash<TargetName>()(status.target);
        target.prefixes.setMaxBlocks(indexedBlocksPerTarget);
        m_targetList.push_back(&target);
        const auto *spec = m_configuration ? find(m_configuration->targets, status.target) : nullptr;
        target.region = spec == nullptr ? m_region : regionOf(*m_configuration, spec->host);
    }
    for (const auto block : status.cachedPrefixes) {
        recordCached(target, block);
    }
    for (const auto block : status.evictedPrefixes) {
        target.prefixes.remove(block);
    }
    target.status = status;
    target.status.cachedPrefixes.clear();
    target.status.evictedPrefixes.clear();
    target.recentReservations = 0;
}

void Placement::onTargetGone(const TargetName &target)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    m_targetList.erase(std::find(m_targetList.begin(), m_targetList.end(), &it->second));
    m_targets.erase(it);
    m_targetsByBlock.clear();
    for (auto *other : m_targetList) {
        for (const auto block : other->prefixes.blocks()) {
            m_targetsByBlock[block].push_back(other);
        }
    }
}

void Placement::onHandedOver(const RequestSpec &spec, const TargetName &target)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    auto &caching = it->second;
    for (auto block = spec.prefixes.rbegin(); block != spec.prefixes.rend(); ++block) {
        if (m_sharedBlocks.contains(*block)) {
            recordCached(caching, *block);
        }
    }
    if (it->second.region != m_region) {
        m_linkBudget.spend(static_cast<double>(spec.bodyBytes));
    }
}

void Placement::recordPrefixes(const RequestSpec &spec)
{
    for (const auto block : spec.prefixes) {
        if (m_seenBlocks.contains(block)) {
            m_sharedBlocks.add(block);
        }
    }
    m_seenBlocks.markUsed(spec.prefixes);
}

std::vector<TargetName> Placement::targetsToReserve(const WaitingRequest &request,
                                                    const std::vector<TargetName> &reserved)
{
    const auto waited = m_clock.now() - request.waitingSince;
    const auto widened = static_cast<std::size_t>(waited / wideningInterval);
    const auto wanted = std::min(maxReservations, initialReservations * (1 + widened));
    if (reserved.size() >= wanted || reserved.size() >= m_targets.size()) {
        return {};
    }
    const double totalSeconds = secondsOf(request.spec.deadline - request.waitingSince);
    std::vector<TargetName> chosen;
    if (secondsOf(waited) < totalSeconds * cacheWaitShare) {
        const auto known = cachingTargets(request);
        for (const auto &[seconds, name] : known) {
            if (!isListed(reserved, name)) {
                chosen.push_back(name);
            }
        }
        if (!known.empty() && known.front().first <= totalSeconds * maxCachedServiceShare) {
            return chosen;
        }
    }
    const bool otherRegions =
        secondsOf(waited) >= totalSeconds * ownRegionWaitShare || !servesInOwnRegion(request.spec.service);
    for (const auto &[seconds, name] : rankTargets(request, reserved, otherRegions)) {
        if (reserved.size() + chosen.size() >= wanted) {
            break;
        }
        if (!isListed(chosen, name)) {
            chosen.push_back(name);
            m_targets.at(name).recentReservations += 1;
        }
    }
    return chosen;
}

double Placement::minServiceSeconds(const RequestSpec &spec, double outputTokens) const
{
    std::size_t shared = 0;
    while (shared < spec.prefixes.size() && m_sharedBlocks.contains(spec.prefixes[shared])) {
        ++shared;
    }
    const double cached = static_cast<double>(shared) * prefixBlockTokens;
    const double prompt = std::max(0.0, spec.promptTokens - cached);
    const auto &best = bestSpeed(spec.service);
    if (best.prefillTokensPerSecond <= 0 || best.decodeTokensPerSecond <= 0) {
        return 0; // no target has measured its speed yet
    }
    return prompt / best.prefillTokensPerSecond + outputTokens / best.decodeTokensPerSecond;
}

const Placement::BestSpeed &Placement::bestSpeed(const ServiceName &service) const
{
    const auto now = m_clock.now();
    auto &best = m_bestSpeeds[service];
    if (now - best.updatedAt < bestSpeedMaxAge && best.prefillTokensPerSecond > 0) {
        return best;
    }
    best = {0, 0, now};
    for (const auto *it : m_targetList) {
        if (isUsable(*it, service)) {
            best.prefillTokensPerSecond = std::max(best.prefillTokensPerSecond, it->status.prefillTokensPerSecond);
            best.decodeTokensPerSecond = std::max(best.decodeTokensPerSecond, it->status.decodeTokensPerSecond);
        }
    }
    return best;
}

bool Placement::serves(const ServiceName &service) const
{
    return std::any_of(
        m_targets.begin(), m_targets.end(), [&](const auto &it) { return isUsable(it.second, service); });
}

bool Placement::servesInOwnRegion(const ServiceName &service) const
{
    return std::any_of(m_targetList.begin(), m_targetList.end(), [&](const Target *it) {
        return it->region == m_region && isUsable(*it, service);
    });
}

double Placement::estimateSeconds(const Target &target, const WaitingRequest &request, std::size_t cachedBlocks)
{
    const auto &status = target.status;
    const double prefill =
        status.prefillTokensPerSecond > 0 ? status.prefillTokensPerSecond : defaultPrefillTokensPerSecond;
    const double decode =
        status.decodeTokensPerSecond > 0 ? status.decodeTokensPerSecond : defaultDecodeTokensPerSecond;
    const double cached = static_cast<double>(cachedBlocks) * prefixBlockTokens;
    const double prompt = std::max(0.0, request.spec.promptTokens - cached);
    double requestsAhead = status.running + target.recentReservations;
    for (const auto &it : status.tiers) {
        if (!request.spec.tier.isHigherThan(it.tier)) {
            requestsAhead += it.waiting;
        }
    }
    return prompt / prefill + request.outputTokens / decode * (1 + slowdownPerRequest * requestsAhead);
}

bool Placement::isUsable(const Target &target, const ServiceName &service)
{
    return target.status.service == service && target.status.accepting;
}

void Placement::recordCached(Target &target, PrefixHash block)
{
    if (!target.prefixes.contains(block)) {
        auto &list = m_targetsByBlock[block];
        if (std::find(list.begin(), list.end(), &target) == list.end()) {
            list.push_back(&target);
        }
    }
    target.prefixes.add(block);
    if (m_targetsByBlock.size() > maxTrackedBlocks) {
        m_targetsByBlock.clear();
        for (auto *it : m_targetList) {
            for (const auto held : it->prefixes.blocks()) {
                m_targetsByBlock[held].push_back(it);
            }
        }
    }
}

std::vector<Placement::Target *> Placement::targetsCaching(PrefixHash block)
{
    const auto it = m_targetsByBlock.find(block);
    if (it == m_targetsByBlock.end()) {
        return {};
    }
    auto &list = it->second;
    const auto evicted = [block](const Target *target) { return !target->prefixes.contains(block); };
    list.erase(std::remove_if(list.begin(), list.end(), evicted), list.end());
    auto found = list;
    if (list.empty()) {
        m_targetsByBlock.erase(it);
    }
    return found;
}

Placement::RankedTargets Placement::cachingTargets(const WaitingRequest &request)
{
    const auto &spec = request.spec;
    if (spec.prefixes.empty()) {
        return {};
    }
    std::size_t longest = 0;
    RankedTargets best;
    for (const auto *it : targetsCaching(spec.prefixes.front())) {
        const auto blocks = it->prefixes.countLeading(spec.prefixes);
        if (!isUsable(*it, spec.service) || blocks < longest) {
            continue;
        }
        if (blocks > longest) {
            longest = blocks;
            best.clear();
        }
        best.emplace_back(estimateSeconds(*it, request, blocks), it->name);
    }
    std::sort(best.begin(), best.end());
    best.resize(std::min(best.size(), initialReservations));
    const double waited = secondsOf(m_clock.now() - request.waitingSince);
    const double totalSeconds = secondsOf(spec.deadline - request.waitingSince);
    const bool shared = m_sharedBlocks.contains(spec.prefixes.front());
    if (best.empty() && (shared || waited < totalSeconds * newPromptWaitShare)) {
        if (const auto *target = rendezvousTarget(spec)) {
            best.emplace_back(estimateSeconds(*target, request, 0), target->name);
        }
    }
    return best;
}

Placement::Target *Placement::rendezvousTarget(const RequestSpec &spec)
{
    Target *best = nullptr;
    std::uint64_t highest = 0;
    for (auto *it : m_targetList) {
        const auto value = rendezvousHash(it->nameHash, spec.prefixes.front());
        if ((best == nullptr || value > highest) && isUsable(*it, spec.service)) {
            best = it;
            highest = value;
        }
    }
    return best;
}

Placement::RankedTargets
Placement::rankTargets(const WaitingRequest &request, const std::vector<TargetName> &reserved, bool otherRegions)
{
    const bool mayCrossRegions = otherRegions && m_linkBudget.allows(static_cast<double>(request.spec.bodyBytes));
    RankedTargets list;
    const auto consider = [&](const TargetName &name, const Target &it) {
        const bool reachable = it.region == m_region || mayCrossRegions;
        if (reachable && isUsable(it, request.spec.service) && !isListed(reserved, name)) {
            list.emplace_back(estimateSeconds(it, request, it.prefixes.countLeading(request.spec.prefixes)), name);
        }
    };
    if (m_targets.size() < fullScanLimit) {
        for (const auto *it : m_targetList) {
            consider(it->name, *it);
        }
    } else {
        for (std::size_t n = 0; n < sampledTargets; ++n) {
            const auto *it = m_targetList[m_random.nextBelow(m_targetList.size())];
            const bool listed =
                std::any_of(list.begin(), list.end(), [it](const auto &other) { return other.second == it->name; });
            if (!listed) {
                consider(it->name, *it);
            }
        }
    }
    std::sort(list.begin(), list.end());
    return list;
}

} // namespace monsoonward
