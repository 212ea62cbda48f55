#pragma once

#include <monsoonward/values/values.h>

#include <array>
#include <map>

namespace monsoonward
{

/// @brief Learns how long an engine takes to the first bytes of an answer, by how loaded it is when it gets the
/// request. The curve over the load is shared by the engines of a service; each engine has a pace relative to it. What
/// was learned for a load that was not met lately fades towards what holds for lower loads: a daemon that refuses at
/// that load would never learn that it has become faster.
class FirstBytesModel
{
public:
    /// @param load requests in progress for each slot of the engine when the request was sent
    /// @param length from sending to the first bytes
    void learn(const ServiceName &service, const EngineName &engine, double load, Duration length, TimePoint now);
    /// @return the expected time to the first bytes; it does not fall with the load
    Duration expected(const ServiceName &service, const EngineName &engine, double load, TimePoint now) const;
    /// @return how slow the engine is: 1 is the service's mean
    double pace(const EngineName &engine) const;
    /// Forgets engines that are gone.
    void forget(const EngineName &engine);

private:
    static constexpr std::size_t bins = 20;
    static constexpr double binsPerLoad = 4; // a bin spans a quarter of the slots

    using Values = std::array<double, bins>; // seconds by load; 0: nothing learned

    struct Curve
    {
        Values learned {};
        std::array<TimePoint, bins> learnedAt {};
        Values faded {}; // as they hold at fadedAt
        TimePoint fadedAt;
    };

    static std::size_t binOf(double load);
    static const Values &fade(Curve &curve, TimePoint now);
    static double at(const Values &values, double load);

    mutable std::map<ServiceName, Curve> m_curves; // mutable: remembers the faded values of the last moment
    std::map<EngineName, double> m_paces;
};

} // namespace monsoonward
