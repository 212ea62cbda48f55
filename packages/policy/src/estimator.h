#pragma once

#include <monsoonward/values/values.h>

#include <array>
#include <unordered_map>

namespace monsoonward
{

/// @brief Learns how many output tokens requests have, by tier and customer, as quantiles of what was seen. Bounded:
/// customers beyond the limit use their tier's figures.
class OutputLengthEstimator
{
public:
    void recordOutput(Tier tier, const CustomerName &customer, std::uint32_t outputTokens);
    /// @return output tokens of a typical request
    double median(Tier tier, const CustomerName &customer) const;
    /// @return output tokens that 19 requests in 20 stay under
    double percentile95(Tier tier, const CustomerName &customer) const;

private:
    /// Quantiles tracked by stochastic approximation on a logarithmic scale.
    struct Quantiles
    {
        double logMedian = 0;
        double logPercentile95 = 0;
        std::uint32_t sampleCount = 0;
    };

    static void recordOutput(Quantiles &quantiles, double tokens);
    const Quantiles *quantilesFor(Tier tier, const CustomerName &customer) const;

    std::unordered_map<unsigned, Quantiles> m_tiers;
    std::unordered_map<unsigned, std::unordered_map<CustomerName, Quantiles>> m_customers;
};

} // namespace monsoonward
