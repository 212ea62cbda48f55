#include "customerlimits.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double rateTimeConstantSeconds = 5; // the rates decay exponentially
constexpr double negligibleRate = 0.01; // requests per second; below this a customer counts as idle

bool hasLimits(const CustomerLimits &limits)
{
    return limits != CustomerLimits {};
}

} // namespace

CustomerLimiter::CustomerLimiter(const Clock &clock)
    : m_clock(clock)
{
}

void CustomerLimiter::configure(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
}

std::optional<std::string> CustomerLimiter::exceededLimit(const RequestSpec &spec) const
{
    const auto *customer = m_configuration ? find(m_configuration->customers, spec.customer) : nullptr;
    if (customer == nullptr || !hasLimits(customer->limits)) {
        return std::nullopt;
    }
    const auto &limits = customer->limits;
    const auto used = totalUsage(spec.customer);
    const auto tokens = estimatedTokens(spec);
    if (limits.requestsInProgress > 0 && used.requestsInProgress + 1 > limits.requestsInProgress) {
        return "requests in progress: " + std::to_string(limits.requestsInProgress);
    }
    const bool onlyRequest = used.tokensInProgress == 0; // a request larger than the limit may run alone
    if (limits.tokensInProgress > 0 && !onlyRequest && used.tokensInProgress + tokens > limits.tokensInProgress) {
        return "tokens in progress: " + std::to_string(limits.tokensInProgress);
    }
    if (limits.requestsPerSecond > 0 && used.requestsPerSecond >= limits.requestsPerSecond) {
        return "requests a second: " + std::to_string(limits.requestsPerSecond);
    }
    if (limits.tokensPerSecond > 0 && used.tokensPerSecond >= limits.tokensPerSecond) {
        return "tokens a second: " + std::to_string(limits.tokensPerSecond);
    }
    return std::nullopt;
}

void CustomerLimiter::onAdmitted(const RequestSpec &spec)
{
    auto &usage = m_localUsage[spec.customer];
    const double factor = decayFactor(usage.ratesUpdatedAt);
    usage.totals.customer = spec.customer;
    ++usage.totals.requestsInProgress;
    usage.totals.tokensInProgress += estimatedTokens(spec);
    usage.totals.requestsPerSecond = usage.totals.requestsPerSecond * factor + 1 / rateTimeConstantSeconds;
    usage.totals.tokensPerSecond =
        usage.totals.tokensPerSecond * factor + estimatedTokens(spec) / rateTimeConstantSeconds;
    usage.ratesUpdatedAt = m_clock.now();
    usage.changed = true;
}

void CustomerLimiter::onEnded(const RequestSpec &spec)
{
    const auto it = m_localUsage.find(spec.customer);
    checkInvariant(it != m_localUsage.end() && it->second.totals.requestsInProgress > 0,
                   "usage-balanced",
                   "customer \"" + spec.customer.text() + "\"");
    auto &usage = it->second;
    --usage.totals.requestsInProgress;
    usage.totals.tokensInProgress -= estimatedTokens(spec);
    usage.changed = true;
}

void CustomerLimiter::onUsageReport(const Peer &from, const UsageReport &report)
{
    auto &known = m_peerUsage[from];
    for (const auto &it : report.customers) {
        if (it.requestsInProgress == 0 && it.requestsPerSecond < negligibleRate) {
            known.erase(it.customer);
        } else {
            known[it.customer] = it;
        }
    }
}

void CustomerLimiter::onEntryDown(const Peer &peer)
{
    m_peerUsage.erase(peer);
}

UsageReport CustomerLimiter::takeUsageReport()
{
    UsageReport report;
    const auto now = m_clock.now();
    for (auto it = m_localUsage.begin(); it != m_localUsage.end();) {
        auto &usage = it->second;
        const auto *customer = m_configuration ? find(m_configuration->customers, it->first) : nullptr;
        const bool limited = customer != nullptr && hasLimits(customer->limits);
        const double factor = decayFactor(usage.ratesUpdatedAt);
        usage.totals.requestsPerSecond *= factor;
        usage.totals.tokensPerSecond *= factor;
        usage.ratesUpdatedAt = now;
        const bool idle = usage.totals.requestsInProgress == 0 && usage.totals.requestsPerSecond < negligibleRate;
        const bool decaying = usage.totals.requestsPerSecond >= negligibleRate;
        if (limited && (usage.changed || decaying || idle)) {
            report.customers.push_back(usage.totals);
        }
        usage.changed = false;
        it = idle ? m_localUsage.erase(it) : std::next(it);
    }
    return report;
}

std::uint32_t CustomerLimiter::estimatedTokens(const RequestSpec &spec)
{
    return spec.promptTokens + spec.outputTokens;
}

double CustomerLimiter::decayFactor(TimePoint since) const
{
    return std::exp(-std::chrono::duration<double>(m_clock.now() - since).count() / rateTimeConstantSeconds);
}

CustomerUsage CustomerLimiter::totalUsage(const CustomerName &customer) const
{
    CustomerUsage sum;
    const auto local = m_localUsage.find(customer);
    if (local != m_localUsage.end()) {
        sum = local->second.totals;
        const double factor = decayFactor(local->second.ratesUpdatedAt);
        sum.requestsPerSecond *= factor;
        sum.tokensPerSecond *= factor;
    }
    for (const auto &[peer, known] : m_peerUsage) {
        const auto it = known.find(customer);
        if (it != known.end()) {
            sum.requestsInProgress += it->second.requestsInProgress;
            sum.tokensInProgress += it->second.tokensInProgress;
            sum.requestsPerSecond += it->second.requestsPerSecond;
            sum.tokensPerSecond += it->second.tokensPerSecond;
        }
    }
    return sum;
}

} // namespace monsoonward
