#include "monsoonward/dispatch/prefillmodel.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr double keptWeight = 0.998; // of the earlier requests at each new one: a moving average over 500 requests
constexpr double minWeight = 100; // requests before the slope is used
constexpr double minVariance = 0.0001; // relative to the mean square; with less the prompts have one length

} // namespace

void PrefillModel::learn(const ServiceName &service, double tokens, Duration length)
{
    auto &it = m_moments[service];
    const double seconds = std::chrono::duration<double>(length).count();
    it.weight = keptWeight * it.weight + 1;
    it.tokens = keptWeight * it.tokens + tokens;
    it.seconds = keptWeight * it.seconds + seconds;
    it.tokensSquared = keptWeight * it.tokensSquared + tokens * tokens;
    it.product = keptWeight * it.product + tokens * seconds;
}

Duration PrefillModel::timeToRead(const ServiceName &service, double tokens) const
{
    const auto known = m_moments.find(service);
    if (known == m_moments.end() || known->second.weight < minWeight) {
        return Duration::zero();
    }
    const auto &it = known->second;
    const double variance = it.weight * it.tokensSquared - it.tokens * it.tokens;
    const double covariance = it.weight * it.product - it.tokens * it.seconds;
    if (variance <= minVariance * it.weight * it.tokensSquared) {
        return Duration::zero();
    }
    const std::chrono::duration<double> time(std::max(0.0, covariance / variance) * tokens);
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace monsoonward
