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
    std::optional<std::string> exceeded(const RequestSpec &spec) const;
    void admitted(const RequestSpec &spec);
    void onEnded(const RequestSpec &spec);

    void report(const Peer &from, const UsageReport &report);
    void onEntryDown(const Peer &peer);
    /// @return what changed here since the last report, for the other entries
    UsageReport takeReport();

private:
    struct Usage
    {
        CustomerUsage own;
        TimePoint at {}; // of the decayed rates
        bool changed = false;
    };

    static std::uint32_t tokensOf(const RequestSpec &spec);
    double decay(TimePoint since) const;
    CustomerUsage total(const CustomerName &customer) const;

    const Clock &m_clock;
    ConfigurationPtr m_configuration;
    std::unordered_map<CustomerName, Usage> m_usage;
    std::map<Peer, std::unordered_map<CustomerName, CustomerUsage>> m_reports;
};

} // namespace monsoonward
