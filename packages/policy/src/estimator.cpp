#include "estimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double defaultOutputTokens = 100; // for a tier without measurements
constexpr std::uint32_t minCustomerSamples = 10; // with fewer requests a customer uses the quantiles of its tier
constexpr std::size_t maxCustomersPerTier = 4096;
constexpr double medianQuantile = 0.5;
constexpr double highQuantile = 0.95;
constexpr double minStep =
    0.01; // lower bound of the step size, in the logarithm of tokens; keeps the quantiles adapting

} // namespace

void OutputLengthEstimator::recordOutput(Tier tier, const CustomerName &customer, std::uint32_t outputTokens)
{
    const double tokens = std::max<double>(1, outputTokens);
    recordOutput(m_tiers[tier.level()], tokens);
    auto &customers = m_customers[tier.level()];
    if (customers.size() < maxCustomersPerTier || customers.count(customer) != 0) {
        recordOutput(customers[customer], tokens);
    }
}

double OutputLengthEstimator::median(Tier tier, const CustomerName &customer) const
{
    const auto *quantiles = quantilesFor(tier, customer);
    return quantiles == nullptr ? defaultOutputTokens : std::exp(quantiles->logMedian);
}

double OutputLengthEstimator::percentile95(Tier tier, const CustomerName &customer) const
{
    const auto *quantiles = quantilesFor(tier, customer);
    return quantiles == nullptr ? defaultOutputTokens : std::exp(quantiles->logPercentile95);
}

void OutputLengthEstimator::recordOutput(Quantiles &quantiles, double tokens)
{
    const double sample = std::log(tokens);
    if (quantiles.sampleCount == 0) {
        quantiles = {sample, sample, 1};
        return;
    }
    ++quantiles.sampleCount;
    const double step = std::max(minStep, 1.0 / quantiles.sampleCount);
    const auto adjust = [step, sample](double &value, double quantile) {
        value += sample > value ? step * quantile * 2 : -step * (1 - quantile) * 2;
    };
    adjust(quantiles.logMedian, medianQuantile);
    adjust(quantiles.logPercentile95, highQuantile);
    quantiles.logPercentile95 = std::max(quantiles.logPercentile95, quantiles.logMedian);
}

const OutputLengthEstimator::Quantiles *OutputLengthEstimator::quantilesFor(Tier tier,
                                                                            const CustomerName &customer) const
{
    const auto customers = m_customers.find(tier.level());
    if (customers != m_customers.end()) {
        const auto it = customers->second.find(customer);
        if (it != customers->second.end() && it->second.sampleCount >= minCustomerSamples) {
            return &it->second;
        }
    }
    const auto it = m_tiers.find(tier.level());
    return it == m_tiers.end() ? nullptr : &it->second;
}

} // namespace monsoonward
