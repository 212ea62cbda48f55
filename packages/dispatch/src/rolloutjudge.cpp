#include "monsoonward/dispatch/rolloutjudge.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double minFailureShare = 0.01; // of a sound version: single engines fail now and then
constexpr double failureExcess = 0.05; // the least share of failures that a trial can tell from a sound version
constexpr double slowQuantile = 0.9; // of the old version's times; slower answers count as slow
constexpr double minSlowShare = 0.1; // above the quantile, since buckets are wide
constexpr double slowExcess = 0.18; // a version whose answers come late now and then under load isn't found
constexpr double maxShare = 0.95; // keeps the logarithms finite
constexpr std::uint32_t minReference = 30; // answers of the old version that tell its times
constexpr double perSecondDecay = 0.9; // answers of the last few seconds are compared

/// @return an upper estimate of the share, by two standard errors
double upperShare(double bad, double all, double least)
{
    const double share = all > 0 ? bad / all : 0;
    const double error = all > 0 ? std::sqrt(share * (1 - share) / all) : 0;
    return std::max(least, share + 2 * error);
}

} // namespace

ShareTest::ShareTest(double threshold)
    : m_threshold(threshold)
{
}

void ShareTest::add(std::uint32_t bad, std::uint32_t good, double reference, double excess)
{
    const double p0 = std::min(reference, maxShare - excess);
    const double p1 = p0 + excess;
    m_sum += bad * std::log(p1 / p0) + good * std::log((1 - p1) / (1 - p0));
    m_sum = std::max(0.0, m_sum);
}

bool ShareTest::isBad() const
{
    return m_sum >= m_threshold;
}

double ShareTest::evidence() const
{
    return m_sum / m_threshold;
}

void RolloutJudge::add(RouteKey route, const RouteCounts &answers)
{
    auto &entry = m_routes[route];
    entry.reference.add(answers.oldVersion);
    m_pooledReference.add(answers.oldVersion);
    const auto &news = answers.newVersion;
    const auto n = news.all();
    if (n == 0) {
        return;
    }
    entry.answers += n;
    m_answers += n;
    const auto &pooled = m_pooledReference;
    m_pooled.failures.add(
        news.failures, news.good(), upperShare(pooled.failures, pooled.all(), minFailureShare), failureExcess);
    const auto &reference = entry.reference;
    entry.tests.failures.add(
        news.failures, news.good(), upperShare(reference.failures, reference.all(), minFailureShare), failureExcess);
    if (reference.good() < minReference) {
        return; // the times of a sound version on this route aren't known
    }
    const auto bucket = reference.bucketAbove(slowQuantile);
    const auto slow = news.from(bucket);
    const auto share = upperShare(reference.from(bucket), reference.good(), minSlowShare);
    entry.tests.slow.add(slow, news.good() - slow, share, slowExcess);
    m_pooled.slow.add(slow, news.good() - slow, share, slowExcess);
}

void RolloutJudge::forgetSlowly()
{
    m_pooledReference.decay(perSecondDecay);
    for (auto &it : m_routes) {
        it.second.reference.decay(perSecondDecay);
    }
}

std::optional<std::string> RolloutJudge::badReason() const
{
    const auto reasonOf = [](const Tests &tests) -> std::optional<std::string> {
        if (tests.failures.isBad()) {
            return "failures";
        }
        return tests.slow.isBad() ? std::optional<std::string>("slow") : std::nullopt;
    };
    if (auto reason = reasonOf(m_pooled)) {
        return reason;
    }
    for (const auto &it : m_routes) {
        if (auto reason = reasonOf(it.second.tests)) {
            return *reason + " on one route";
        }
    }
    return std::nullopt;
}

std::uint32_t RolloutJudge::answers() const
{
    return m_answers;
}

std::uint32_t RolloutJudge::answersOf(RouteKey route) const
{
    const auto it = m_routes.find(route);
    return it == m_routes.end() ? 0 : it->second.answers;
}

double RolloutJudge::shareOf(RouteKey route) const
{
    const auto it = m_routes.find(route);
    const auto all = m_pooledReference.all();
    return it == m_routes.end() || all == 0 ? 0 : static_cast<double>(it->second.reference.all()) / all;
}

double RolloutJudge::evidence() const
{
    double most = std::max(m_pooled.failures.evidence(), m_pooled.slow.evidence());
    for (const auto &it : m_routes) {
        most = std::max({most, it.second.tests.failures.evidence(), it.second.tests.slow.evidence()});
    }
    return most;
}

} // namespace monsoonward
