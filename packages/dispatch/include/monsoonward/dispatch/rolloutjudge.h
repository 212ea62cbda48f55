#pragma once

#include "monsoonward/dispatch/rolloutcounts.h"

#include <optional>
#include <string>

namespace monsoonward
{

/// @brief Cumulative sum test of a share against a reference. It begins anew whenever the evidence favours the
/// reference, so that a change later on is found as fast as one at the beginning.
class ShareTest
{
public:
    /// @param threshold the mean number of answers until a false verdict is at least e to this power, where the share
    /// of a sound version is the reference; more where it is smaller
    explicit ShareTest(double threshold);
    /// Adds answers.
    /// @param reference share of bad ones in sound operation
    /// @param excess by which the share of a bad version is larger at least
    void add(std::uint32_t bad, std::uint32_t good, double reference, double excess);
    bool isBad() const;
    /// @return 1 and more is a verdict
    double evidence() const;

private:
    double m_threshold;
    double m_sum = 0;
};

/// @brief Compares the answers of a new version with those of the old one.
class RolloutJudge
{
public:
    /// Adds answers of one route, from all gateways.
    void add(RouteKey route, const RouteCounts &answers);
    /// To be called once a second: answers of the old version count for less the older they are.
    void forgetSlowly();
    /// @return why the new version is bad; nothing if there's no proof of it
    std::optional<std::string> badReason() const;
    /// @return answers of the new version
    std::uint32_t answers() const;
    /// @return answers of the new version to requests of the route
    std::uint32_t answersOf(RouteKey route) const;
    /// @return fraction of the old version's answers that are of the route
    double shareOf(RouteKey route) const;
    /// @return the largest evidence of a test; 1 and more proves the version bad
    double evidence() const;

private:
    struct Tests
    {
        ShareTest failures {8}; // the reference is five times the usual share
        ShareTest slow {13}; // the reference is the share itself: 440,000 answers
    };
    struct PerRoute
    {
        Tests tests;
        AnswerCounts reference;
        std::uint32_t answers = 0;
    };

    std::map<RouteKey, PerRoute> m_routes;
    Tests m_pooled;
    AnswerCounts m_pooledReference;
    std::uint32_t m_answers = 0;
};

} // namespace monsoonward
