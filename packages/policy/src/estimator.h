#pragma once

#include <monsoonward/values/values.h>

#include <array>
#include <unordered_map>

namespace monsoonward
{

/// @brief Estimates how many output tokens a request will have, from quantiles of earlier outputs by tier and customer.
///
/// The number of tracked customers is bounded. Others, and those with too few requests, use the quantiles of their
/// tier.
class OutputLengthEstimator
{
public:
    void recordOutput(Tier tier, const CustomerName &customer, std::uint32_t outputTokens);
    /// @return the median number of output tokens
    double median(Tier tier, const CustomerName &customer) const;
    /// @return the number of output tokens that 19 in 20 requests stay below
    double percentile95(Tier tier, const CustomerName &customer) const;

private:
    /// Quantiles of the natural logarithm of the output tokens, tracked by stochastic approximation.
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
