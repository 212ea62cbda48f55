#pragma once

#include "monsoonward/policy/requestspec.h"

#include <map>
#include <unordered_map>

namespace monsoonward
{

/// @brief A customer's use of the service against its limits, over all entries. Each entry tells the others what it
/// admits; a report counts until the next one or until its sender is gone. Between two reports the entries together can
/// exceed a limit by what they admit in that time.
class CustomerLimiter
{
public:
    explicit CustomerLimiter(const Clock &clock);

    void configure(const ConfigurationPtr &configuration);
    /// @return nothing when @p spec is within its customer's limits, else the limit that it exceeds
    std::optional<std::string> exceededLimit(const RequestSpec &spec) const;
    void onAdmitted(const RequestSpec &spec);
    void onEnded(const RequestSpec &spec);

    void onUsageReport(const Peer &from, const UsageReport &report);
    void onEntryDown(const Peer &peer);
    /// @return what changed here since the last report, for the other entries
    UsageReport takeUsageReport();

private:
    struct LocalUsage
    {
        CustomerUsage own;
        TimePoint ratesUpdatedAt {}; // of the decayed rates
        bool changed = false;
    };

    static std::uint32_t estimatedTokens(const RequestSpec &spec);
    double decayFactor(TimePoint since) const;
    CustomerUsage totalUsage(const CustomerName &customer) const;

    const Clock &m_clock;
    ConfigurationPtr m_configuration;
    std::unordered_map<CustomerName, LocalUsage> m_localUsage;
    std::map<Peer, std::unordered_map<CustomerName, CustomerUsage>> m_peerUsage;
};

} // namespace monsoonward
