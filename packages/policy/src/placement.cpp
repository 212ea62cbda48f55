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

std::uint64_t rendezvous(const TargetName &target, PrefixHash block)
{
    std::uint64_t n = std::hash<TargetName>()(target) ^ (block * 0x9e3779b97f4a7c15ULL);
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

void Placement::targetStatus(const TargetStatus &status)
{
    auto [it, added] = m_targets.try_emplace(status.target);
    auto &target = it->second;
    if (added) {
        target.prefixes.setMaxBlocks(indexBlocks);
        const auto *spec = m_configuration ? find(m_configuration->targets, status.target) : nullptr;
        target.region = spec == nullptr ? m_region : regionOf(*m_configuration, spec->host);
    }
    for (const auto block : status.cached) {
        target.prefixes.add(block);
    }
    for (const auto block : status.evicted) {
        target.prefixes.remove(block);
    }
    target.status = status;
    target.status.cached.clear();
    target.status.evicted.clear();
    target.recent = 0;
}

void Placement::targetGone(const TargetName &target)
{
    m_targets.erase(target);
}

void Placement::handedOver(const RequestSpec &spec, const TargetName &target)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    std::vector<PrefixHash> shared;
    for (const auto block : spec.prefixes) {
        if (m_popular.holds(block)) {
            shared.push_back(block);
        }
    }
    it->second.prefixes.use(shared);
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

std::vector<TargetName> Placement::candidates(const WaitingView &request, const std::vector<TargetName> &reserved)
{
    const auto waited = m_clock.now() - request.admittedAt;
    const auto widened = static_cast<std::size_t>(waited / widenInterval);
    const auto wanted = std::min(maxReservations, firstReservations * (1 + widened));
    if (reserved.size() >= wanted || reserved.size() >= m_targets.size()) {
        return {};
    }
    const double total = secondsOf(request.spec.deadline - request.admittedAt);
    const double patience = total * holderPatience;
    const bool patient = secondsOf(waited) < patience;
    std::vector<TargetName> chosen;
    if (patient) {
        chosen = holders(request, reserved);
        const bool waitsAtHolder = chosen.empty() && !reserved.empty() && !holders(request, {}).empty();
        if (!chosen.empty() || waitsAtHolder) {
            return chosen;
        }
    }
    const bool spill = secondsOf(waited) >= total * spillPart;
    for (const auto &[score, name] : ranked(request, reserved, spill)) {
        if (reserved.size() + chosen.size() >= wanted) {
            break;
        }
        chosen.push_back(name);
        m_targets.at(name).recent += 1;
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
    double best = -1;
    for (const auto &[name, it] : m_targets) {
        if (!isUsable(it, spec.service)) {
            continue;
        }
        const double prefill = std::max(1.0, it.status.prefillTokensPerSecond);
        const double decode = std::max(1.0, it.status.decodeTokensPerSecond);
        const double seconds = prompt / prefill + outputTokens / decode;
        best = best < 0 ? seconds : std::min(best, seconds);
    }
    return std::max(0.0, best);
}

bool Placement::serves(const ServiceName &service) const
{
    return std::any_of(
        m_targets.begin(), m_targets.end(), [&](const auto &it) { return isUsable(it.second, service); });
}

double Placement::score(const Target &target, const WaitingView &request, std::size_t cachedBlocks) const
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

bool Placement::isUsable(const Target &target, const ServiceName &service) const
{
    return target.status.service == service && target.status.accepting;
}

std::vector<TargetName> Placement::holders(const WaitingView &request, const std::vector<TargetName> &reserved) const
{
    const auto &spec = request.spec;
    if (spec.prefixes.empty()) {
        return {};
    }
    std::size_t most = 0;
    std::vector<std::pair<double, TargetName>> best;
    for (const auto &[name, it] : m_targets) {
        if (!isUsable(it, spec.service)) {
            continue;
        }
        const auto blocks = it.prefixes.leading(spec.prefixes);
        if (blocks == 0 || blocks < most) {
            continue;
        }
        if (blocks > most) {
            most = blocks;
            best.clear();
        }
        best.emplace_back(score(it, request, blocks), name);
    }
    std::sort(best.begin(), best.end());
    std::vector<TargetName> names;
    for (const auto &[score, name] : best) {
        if (names.size() < firstReservations && !contains(reserved, name)) {
            names.push_back(name);
        }
    }
    const double waited = secondsOf(m_clock.now() - request.admittedAt);
    const double total = secondsOf(spec.deadline - request.admittedAt);
    const bool known = m_popular.holds(spec.prefixes.front());
    if (best.empty() && (known || waited < total * homePatience)) {
        const auto name = home(spec);
        if (!name.empty() && !contains(reserved, name)) {
            names.push_back(name);
        }
    }
    return names;
}

TargetName Placement::home(const RequestSpec &spec) const
{
    TargetName best;
    std::uint64_t highest = 0;
    for (const auto &[name, it] : m_targets) {
        if (!isUsable(it, spec.service)) {
            continue;
        }
        const auto value = rendezvous(name, spec.prefixes.front());
        if (best.empty() || value > highest) {
            best = name;
            highest = value;
        }
    }
    return best;
}

std::vector<std::pair<double, TargetName>>
Placement::ranked(const WaitingView &request, const std::vector<TargetName> &reserved, bool spill)
{
    const bool mayCross = spill && m_link.allows(static_cast<double>(request.spec.bodyBytes));
    std::vector<std::pair<double, TargetName>> list;
    const auto consider = [&](const TargetName &name, const Target &it) {
        const bool reachable = it.region == m_region || mayCross;
        if (reachable && isUsable(it, request.spec.service) && !contains(reserved, name)) {
            list.emplace_back(score(it, request, it.prefixes.leading(request.spec.prefixes)), name);
        }
    };
    if (m_targets.size() < scanAllBelow) {
        for (const auto &[name, it] : m_targets) {
            consider(name, it);
        }
    } else {
        for (std::size_t n = 0; n < sampledTargets; ++n) {
            const auto it = std::next(m_targets.begin(), static_cast<long>(m_random.below(m_targets.size())));
            const bool listed =
                std::any_of(list.begin(), list.end(), [&](const auto &other) { return other.second == it->first; });
            if (!listed) {
                consider(it->first, it->second);
            }
        }
    }
    std::sort(list.begin(), list.end());
    return list;
}

} // namespace monsoonward
