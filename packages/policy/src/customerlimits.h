#pragma once

#include "monsoonward/policy/requestspec.h"

#include <map>
#include <unordered_map>

namespace monsoonward
{

/// @brief Checks the requests of each customer against its limits, counted over all entries.
///
/// Each entry reports its own usage to the others. A customer's reported usage is valid until a later report updates it
/// or its sender goes down. The entries together can exceed a limit by what they admit between two reports.
class CustomerLimiter
{
public:
    explicit CustomerLimiter(const Clock &clock);

    void configure(const ConfigurationPtr &configuration);
    /// @return a description of the limit that @p spec would exceed, or nothing if it is within the limits
    std::optional<std::string> exceededLimit(const RequestSpec &spec) const;
    void onAdmitted(const RequestSpec &spec);
    void onEnded(const RequestSpec &spec);

    void onUsageReport(const Peer &from, const UsageReport &report);
    void onEntryDown(const Peer &peer);
    /// @return this entry's usage for the other entries: the limited customers whose usage has changed since the last
    /// report, whose rates are still decaying, or that have become idle
    UsageReport takeUsageReport();

private:
    struct LocalUsage
    {
        CustomerUsage totals;
        TimePoint ratesUpdatedAt {}; // when the rates were last decayed
        bool changed = false; // since the last report
    };

    static std::uint32_t estimatedTokens(const RequestSpec &spec);
    double decayFactor(TimePoint since) const;
    /// @return the usage at this entry and, as last reported, at the others
    CustomerUsage totalUsage(const CustomerName &customer) const;

    const Clock &m_clock;
    ConfigurationPtr m_configuration;
    std::unordered_map<CustomerName, LocalUsage> m_localUsage;
    std::map<Peer, std::unordered_map<CustomerName, CustomerUsage>> m_peerUsage;
};

} // namespace monsoonward
