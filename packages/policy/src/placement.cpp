#include "placement.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr std::size_t firstReservations = 2;
constexpr std::size_t maxReservations = 12;
constexpr Duration widenInterval = std::chrono::milliseconds(50); // two more reservations after each
constexpr std::size_t scanAllBelow = 24; // with more targets a sample is ranked
constexpr std::size_t sampledTargets = 16;
constexpr double holderPatience = 0.3; // of the time to the deadline, kept for targets that hold the prefix
constexpr double homePatience = 0.03; // the same, for a prompt whose beginning is new to the entry
constexpr double exclusivePart = 0.3; // of the time to the deadline: a slower holder of the prefix is no reason to wait
constexpr Duration bestSpeedAge = std::chrono::milliseconds(100);
constexpr std::size_t maxHolderLists = 262144; // then the lists are made anew
constexpr double spillPart = 0.05; // of the time to the deadline, kept for the own region
constexpr std::size_t indexBlocks = 4096; // of each target
constexpr std::size_t popularBlocks = 65536;
constexpr double linkBytesPerSecond = 1e6;
constexpr double linkBurstBytes = 4e6;
constexpr double unknownPrefillTokensPerSecond = 4000;
constexpr double unknownDecodeTokensPerSecond = 40;
constexpr double slowdownOfOne = 0.05; // part of a decode step that each further request adds

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool contains(const std::vector<TargetName> &list, const TargetName &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

std::uint64_t rendezvous(std::uint64_t nameHash, PrefixHash block)
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
    , m_seen(popularBlocks)
    , m_popular(popularBlocks)
    , m_link(clock, linkBytesPerSecond, linkBurstBytes)
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
        target.prefixes.setMaxBlocks(indexBlocks);
        m_list.push_back(&target);
        const auto *spec = m_configuration ? find(m_configuration->targets, status.target) : nullptr;
        target.region = spec == nullptr ? m_region : regionOf(*m_configuration, spec->host);
    }
    for (const auto block : status.cachedPrefixes) {
        hold(target, block);
    }
    for (const auto block : status.evictedPrefixes) {
        target.prefixes.remove(block);
    }
    target.status = status;
    target.status.cachedPrefixes.clear();
    target.status.evictedPrefixes.clear();
    target.recent = 0;
}

void Placement::onTargetGone(const TargetName &target)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    m_list.erase(std::find(m_list.begin(), m_list.end(), &it->second));
    m_targets.erase(it);
    m_holders.clear();
    for (auto *other : m_list) {
        for (const auto block : other->prefixes.blocks()) {
            m_holders[block].push_back(other);
        }
    }
}

void Placement::onHandedOver(const RequestSpec &spec, const TargetName &target)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    auto &held = it->second;
    for (auto block = spec.prefixes.rbegin(); block != spec.prefixes.rend(); ++block) {
        if (m_popular.holds(*block)) {
            hold(held, *block);
        }
    }
    if (it->second.region != m_region) {
        m_link.spend(static_cast<double>(spec.bodyBytes));
    }
}

void Placement::seen(const RequestSpec &spec)
{
    for (const auto block : spec.prefixes) {
        if (m_seen.holds(block)) {
            m_popular.add(block);
        }
    }
    m_seen.use(spec.prefixes);
}

std::vector<TargetName> Placement::targetsToReserve(const WaitingView &request, const std::vector<TargetName> &reserved)
{
    const auto waited = m_clock.now() - request.admittedAt;
    const auto widened = static_cast<std::size_t>(waited / widenInterval);
    const auto wanted = std::min(maxReservations, firstReservations * (1 + widened));
    if (reserved.size() >= wanted || reserved.size() >= m_targets.size()) {
        return {};
    }
    const double total = secondsOf(request.spec.deadline - request.admittedAt);
    std::vector<TargetName> chosen;
    if (secondsOf(waited) < total * holderPatience) {
        const auto known = holders(request);
        for (const auto &[score, name] : known) {
            if (!contains(reserved, name)) {
                chosen.push_back(name);
            }
        }
        if (!known.empty() && known.front().first <= total * exclusivePart) {
            return chosen;
        }
    }
    const bool spill = secondsOf(waited) >= total * spillPart || !servesInOwnRegion(request.spec.service);
    for (const auto &[score, name] : ranked(request, reserved, spill)) {
        if (reserved.size() + chosen.size() >= wanted) {
            break;
        }
        if (!contains(chosen, name)) {
            chosen.push_back(name);
            m_targets.at(name).recent += 1;
        }
    }
    return chosen;
}

double Placement::leastSeconds(const RequestSpec &spec, double outputTokens) const
{
    std::size_t shared = 0;
    while (shared < spec.prefixes.size() && m_popular.holds(spec.prefixes[shared])) {
        ++shared;
    }
    const double cached = static_cast<double>(shared) * prefixBlockTokens;
    const double prompt = std::max(0.0, spec.promptTokens - cached);
    const auto &best = bestSpeed(spec.service);
    if (best.prefillTokensPerSecond <= 0 || best.decodeTokensPerSecond <= 0) {
        return 0; // not measured yet
    }
    return prompt / best.prefillTokensPerSecond + outputTokens / best.decodeTokensPerSecond;
}

const Placement::BestSpeed &Placement::bestSpeed(const ServiceName &service) const
{
    const auto now = m_clock.now();
    auto &best = m_best[service];
    if (now - best.at < bestSpeedAge && best.prefillTokensPerSecond > 0) {
        return best;
    }
    best = {0, 0, now};
    for (const auto *it : m_list) {
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
    return std::any_of(m_list.begin(), m_list.end(), [&](const Target *it) {
        return it->region == m_region && isUsable(*it, service);
    });
}

double Placement::score(const Target &target, const WaitingView &request, std::size_t cachedBlocks)
{
    const auto &status = target.status;
    const double prefill =
        status.prefillTokensPerSecond > 0 ? status.prefillTokensPerSecond : unknownPrefillTokensPerSecond;
    const double decode =
        status.decodeTokensPerSecond > 0 ? status.decodeTokensPerSecond : unknownDecodeTokensPerSecond;
    const double cached = static_cast<double>(cachedBlocks) * prefixBlockTokens;
    const double prompt = std::max(0.0, request.spec.promptTokens - cached);
    double waiting = status.running + target.recent;
    for (const auto &it : status.tiers) {
        if (!request.spec.tier.isHigherThan(it.tier)) {
            waiting += it.waiting;
        }
    }
    return prompt / prefill + request.outputTokens / decode * (1 + slowdownOfOne * waiting);
}

bool Placement::isUsable(const Target &target, const ServiceName &service)
{
    return target.status.service == service && target.status.accepting;
}

void Placement::hold(Target &target, PrefixHash block)
{
    if (!target.prefixes.holds(block)) {
        auto &list = m_holders[block];
        if (std::find(list.begin(), list.end(), &target) == list.end()) {
            list.push_back(&target);
        }
    }
    target.prefixes.add(block);
    if (m_holders.size() > maxHolderLists) {
        m_holders.clear();
        for (auto *it : m_list) {
            for (const auto held : it->prefixes.blocks()) {
                m_holders[held].push_back(it);
            }
        }
    }
}

std::vector<Placement::Target *> Placement::holdersOf(PrefixHash block)
{
    const auto it = m_holders.find(block);
    if (it == m_holders.end()) {
        return {};
    }
    auto &list = it->second;
    const auto forgotten = [block](const Target *target) { return !target->prefixes.holds(block); };
    list.erase(std::remove_if(list.begin(), list.end(), forgotten), list.end());
    auto found = list;
    if (list.empty()) {
        m_holders.erase(it);
    }
    return found;
}

/// @return the targets with the longest cached beginning of the prompt, best first, else its home
Placement::Scored Placement::holders(const WaitingView &request)
{
    const auto &spec = request.spec;
    if (spec.prefixes.empty()) {
        return {};
    }
    std::size_t most = 0;
    Scored best;
    for (const auto *it : holdersOf(spec.prefixes.front())) {
        const auto blocks = it->prefixes.leading(spec.prefixes);
        if (!isUsable(*it, spec.service) || blocks < most) {
            continue;
        }
        if (blocks > most) {
            most = blocks;
            best.clear();
        }
        best.emplace_back(score(*it, request, blocks), it->name);
    }
    std::sort(best.begin(), best.end());
    best.resize(std::min(best.size(), firstReservations));
    const double waited = secondsOf(m_clock.now() - request.admittedAt);
    const double total = secondsOf(spec.deadline - request.admittedAt);
    const bool known = m_popular.holds(spec.prefixes.front());
    if (best.empty() && (known || waited < total * homePatience)) {
        if (const auto *target = home(spec)) {
            best.emplace_back(score(*target, request, 0), target->name);
        }
    }
    return best;
}

Placement::Target *Placement::home(const RequestSpec &spec)
{
    Target *best = nullptr;
    std::uint64_t highest = 0;
    for (auto *it : m_list) {
        const auto value = rendezvous(it->nameHash, spec.prefixes.front());
        if ((best == nullptr || value > highest) && isUsable(*it, spec.service)) {
            best = it;
            highest = value;
        }
    }
    return best;
}

Placement::Scored Placement::ranked(const WaitingView &request, const std::vector<TargetName> &reserved, bool spill)
{
    const bool mayCross = spill && m_link.allows(static_cast<double>(request.spec.bodyBytes));
    Scored list;
    const auto consider = [&](const TargetName &name, const Target &it) {
        const bool reachable = it.region == m_region || mayCross;
        if (reachable && isUsable(it, request.spec.service) && !contains(reserved, name)) {
            list.emplace_back(score(it, request, it.prefixes.leading(request.spec.prefixes)), name);
        }
    };
    if (m_targets.size() < scanAllBelow) {
        for (const auto *it : m_list) {
            consider(it->name, *it);
        }
    } else {
        for (std::size_t n = 0; n < sampledTargets; ++n) {
            const auto *it = m_list[m_random.nextBelow(m_list.size())];
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
