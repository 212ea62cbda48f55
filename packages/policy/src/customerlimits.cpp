#include "customerlimits.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double rateMemorySeconds = 5;
constexpr double forgottenRate = 0.01; // a second

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

std::optional<std::string> CustomerLimiter::exceeded(const RequestSpec &spec) const
{
    const auto *customer = m_configuration ? find(m_configuration->customers, spec.customer) : nullptr;
    if (customer == nullptr || !hasLimits(customer->limits)) {
        return std::nullopt;
    }
    const auto &limits = customer->limits;
    const auto used = total(spec.customer);
    const auto tokens = tokensOf(spec);
    if (limits.requestsInProgress > 0 && used.requestsInProgress + 1 > limits.requestsInProgress) {
        return "requests in progress: " + std::to_string(limits.requestsInProgress);
    }
    const bool first = used.tokensInProgress == 0; // a request larger than the limit runs alone
    if (limits.tokensInProgress > 0 && !first && used.tokensInProgress + tokens > limits.tokensInProgress) {
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

void CustomerLimiter::admitted(const RequestSpec &spec)
{
    auto &usage = m_usage[spec.customer];
    const double factor = decay(usage.at);
    usage.own.customer = spec.customer;
    ++usage.own.requestsInProgress;
    usage.own.tokensInProgress += tokensOf(spec);
    usage.own.requestsPerSecond = usage.own.requestsPerSecond * factor + 1 / rateMemorySeconds;
    usage.own.tokensPerSecond = usage.own.tokensPerSecond * factor + tokensOf(spec) / rateMemorySeconds;
    usage.at = m_clock.now();
    usage.changed = true;
}

void CustomerLimiter::onEnded(const RequestSpec &spec)
{
    const auto it = m_usage.find(spec.customer);
    checkInvariant(it != m_usage.end() && it->second.own.requestsInProgress > 0,
                   "usage-balanced",
                   "customer \"" + spec.customer.text() + "\"");
    auto &usage = it->second;
    --usage.own.requestsInProgress;
    usage.own.tokensInProgress -= tokensOf(spec);
    usage.changed = true;
}

void CustomerLimiter::report(const Peer &from, const UsageReport &report)
{
    auto &known = m_reports[from];
    for (const auto &it : report.customers) {
        if (it.requestsInProgress == 0 && it.requestsPerSecond < forgottenRate) {
            known.erase(it.customer);
        } else {
            known[it.customer] = it;
        }
    }
}

void CustomerLimiter::onEntryDown(const Peer &peer)
{
    m_reports.erase(peer);
}

UsageReport CustomerLimiter::takeReport()
{
    UsageReport report;
    const auto now = m_clock.now();
    for (auto it = m_usage.begin(); it != m_usage.end();) {
        auto &usage = it->second;
        const auto *customer = m_configuration ? find(m_configuration->customers, it->first) : nullptr;
        const bool limited = customer != nullptr && hasLimits(customer->limits);
        const double factor = decay(usage.at);
        usage.own.requestsPerSecond *= factor;
        usage.own.tokensPerSecond *= factor;
        usage.at = now;
        const bool idle = usage.own.requestsInProgress == 0 && usage.own.requestsPerSecond < forgottenRate;
        const bool decaying = usage.own.requestsPerSecond >= forgottenRate;
        if (limited && (usage.changed || decaying || idle)) {
            report.customers.push_back(usage.own);
        }
        usage.changed = false;
        it = idle ? m_usage.erase(it) : std::next(it);
    }
    return report;
}

std::uint32_t CustomerLimiter::tokensOf(const RequestSpec &spec)
{
    return spec.promptTokens + spec.outputTokens;
}

double CustomerLimiter::decay(TimePoint since) const
{
    return std::exp(-std::chrono::duration<double>(m_clock.now() - since).count() / rateMemorySeconds);
}

CustomerUsage CustomerLimiter::total(const CustomerName &customer) const
{
    CustomerUsage sum;
    const auto own = m_usage.find(customer);
    if (own != m_usage.end()) {
        sum = own->second.own;
        const double factor = decay(own->second.at);
        sum.requestsPerSecond *= factor;
        sum.tokensPerSecond *= factor;
    }
    for (const auto &[peer, known] : m_reports) {
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
