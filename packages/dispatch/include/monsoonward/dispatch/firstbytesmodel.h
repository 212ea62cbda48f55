#pragma once

#include <monsoonward/values/values.h>

#include <array>
#include <map>

namespace monsoonward
{

/// @brief Learns the time to the first bytes of an answer as a function of the engine's load when the request is sent.
///
/// All engines of a service share one curve over the load; each engine has a slowness factor relative to it. A value
/// without recent samples decays towards that of lower loads. Otherwise a daemon that refuses requests at that load
/// would get no samples and never learn that the engines have become faster.
class FirstBytesModel
{
public:
    /// Adds one sample.
    /// @param load requests in progress per slot of the engine when the request was sent
    /// @param length time from sending the request to the first bytes
    void learn(const ServiceName &service, const EngineName &engine, double load, Duration length, TimePoint now);
    /// @return the expected time to the first bytes; it never decreases with the load
    Duration expected(const ServiceName &service, const EngineName &engine, double load, TimePoint now) const;
    /// @return the engine's time relative to the service's curve; greater than 1 for slow engines
    double slowness(const EngineName &engine) const;
    /// Drops the slowness of a removed engine.
    void forget(const EngineName &engine);

private:
    static constexpr std::size_t binCount = 20;
    static constexpr double binsPerUnitLoad = 4; // a bin spans a load of 1/4

    using Values = std::array<double, binCount>; // seconds by load; 0: no sample

    struct Curve
    {
        Values learned {};
        std::array<TimePoint, binCount> learnedAt {};
        Values decayed {}; // cached values for the time decayedAt
        TimePoint decayedAt;
    };

    static std::size_t binOf(double load);
    /// Updates the cache of decayed values.
    static const Values &decay(Curve &curve, TimePoint now);
    /// @return the value at a load, extrapolated above the highest load with a sample
    static double estimate(const Values &values, double load);

    mutable std::map<ServiceName, Curve> m_curves; // mutable: holds the cache of decayed values
    std::map<EngineName, double> m_slowness;
};

} // namespace monsoonward
