#include "estimator.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double unknownOutputTokens = 100;
constexpr std::uint32_t minSeen = 10; // requests of a customer before its own figures count
constexpr std::size_t maxCustomers = 4096; // of one tier
constexpr double typicalQuantile = 0.5;
constexpr double highQuantile = 0.95;
constexpr double smallestStep = 0.01; // on the natural logarithm of tokens

} // namespace

void OutputEstimator::learn(Tier tier, const CustomerName &customer, std::uint32_t outputTokens)
{
    const double tokens = std::max<double>(1, outputTokens);
    learn(m_tiers[tier.level()], tokens);
    auto &customers = m_customers[tier.level()];
    if (customers.size() < maxCustomers || customers.count(customer) != 0) {
        learn(customers[customer], tokens);
    }
}

double OutputEstimator::typical(Tier tier, const CustomerName &customer) const
{
    const auto *quantiles = of(tier, customer);
    return quantiles == nullptr ? unknownOutputTokens : std::exp(quantiles->logTypical);
}

double OutputEstimator::high(Tier tier, const CustomerName &customer) const
{
    const auto *quantiles = of(tier, customer);
    return quantiles == nullptr ? unknownOutputTokens : std::exp(quantiles->logHigh);
}

void OutputEstimator::learn(Quantiles &quantiles, double tokens)
{
    const double sample = std::log(tokens);
    if (quantiles.seen == 0) {
        quantiles = {sample, sample, 1};
        return;
    }
    ++quantiles.seen;
    const double step = std::max(smallestStep, 1.0 / quantiles.seen);
    const auto move = [step, sample](double &value, double quantile) {
        value += sample > value ? step * quantile * 2 : -step * (1 - quantile) * 2;
    };
    move(quantiles.logTypical, typicalQuantile);
    move(quantiles.logHigh, highQuantile);
    quantiles.logHigh = std::max(quantiles.logHigh, quantiles.logTypical);
}

const OutputEstimator::Quantiles *OutputEstimator::of(Tier tier, const CustomerName &customer) const
{
    const auto customers = m_customers.find(tier.level());
    if (customers != m_customers.end()) {
        const auto it = customers->second.find(customer);
        if (it != customers->second.end() && it->second.seen >= minSeen) {
            return &it->second;
        }
    }
    const auto it = m_tiers.find(tier.level());
    return it == m_tiers.end() ? nullptr : &it->second;
}

} // namespace monsoonward
