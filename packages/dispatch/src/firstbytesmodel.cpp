#include "monsoonward/dispatch/firstbytesmodel.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double curveWeight = 0.1; // of one sample: a bin averages over about ten samples
constexpr double slownessWeight = 0.1;
constexpr std::chrono::duration<double> decayTime {3.0}; // about the time that a queue takes to drain
constexpr double maxSlowness = 8; // bounds the effect of one stalled answer, which would otherwise exclude the engine
constexpr double minSlowness = 0.2;
constexpr double defaultSeconds = 0.05; // prediction without samples

} // namespace

std::size_t FirstBytesModel::binOf(double load)
{
    return std::min(binCount - 1, static_cast<std::size_t>(std::max(0.0, load * binsPerUnitLoad)));
}

const FirstBytesModel::Values &FirstBytesModel::decay(Curve &curve, TimePoint now)
{
    if (curve.decayedAt == now) {
        return curve.decayed;
    }
    double lower = 0;
    for (std::size_t n = 0; n < binCount; ++n) {
        auto seconds = curve.learned[n];
        if (seconds > lower && lower > 0) {
            seconds = lower + (seconds - lower) * std::exp(-(now - curve.learnedAt[n]) / decayTime);
        }
        curve.decayed[n] = seconds == 0 ? 0 : std::max(seconds, lower);
        lower = std::max(lower, seconds);
    }
    curve.decayedAt = now;
    return curve.decayed;
}

double FirstBytesModel::estimate(const Values &values, double load)
{
    const auto bin = binOf(load);
    double seconds = 0;
    std::size_t lastKnownBin = 0;
    for (std::size_t n = 0; n <= bin; ++n) {
        if (values[n] > 0) {
            seconds = values[n];
            lastKnownBin = n;
        }
    }
    if (seconds == 0) {
        const auto *known = std::find_if(values.begin(), values.end(), [](double it) { return it > 0; });
        return known == values.end() ? defaultSeconds : *known;
    }
    // Above a load of 1 requests queue and the time grows with the load: extrapolates in proportion to it.
    const double lastKnownUpperLoad = std::max(1.0, static_cast<double>(lastKnownBin + 1) / binsPerUnitLoad);
    return lastKnownBin < bin ? seconds * std::max(1.0, load / lastKnownUpperLoad) : seconds;
}

void FirstBytesModel::learn(
    const ServiceName &service, const EngineName &engine, double load, Duration length, TimePoint now)
{
    auto &curve = m_curves[service];
    auto &slowness = m_slowness.emplace(engine, 1.0).first->second;
    const double seconds = std::chrono::duration<double>(length).count();
    const double predicted = estimate(decay(curve, now), load);
    slowness += slownessWeight * (std::clamp(seconds / predicted, minSlowness, maxSlowness) - slowness);
    const auto n = binOf(load);
    const double normalized = seconds / slowness;
    auto &bin = curve.learned[n];
    const double elapsedWeight = 1 - std::exp(-(now - curve.learnedAt[n]) / decayTime);
    const double weight = std::max(curveWeight, elapsedWeight);
    bin = bin == 0 ? normalized : bin + weight * (normalized - bin);
    curve.learnedAt[n] = now;
    curve.decayedAt = TimePoint(); // the decayed values are computed again
}

Duration
FirstBytesModel::expected(const ServiceName &service, const EngineName &engine, double load, TimePoint now) const
{
    const auto it = m_curves.find(service);
    const double seconds =
        (it == m_curves.end() ? defaultSeconds : estimate(decay(it->second, now), load)) * slowness(engine);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double FirstBytesModel::slowness(const EngineName &engine) const
{
    const auto it = m_slowness.find(engine);
    return it == m_slowness.end() ? 1.0 : it->second;
}

void FirstBytesModel::forget(const EngineName &engine)
{
    m_slowness.erase(engine);
}

} // namespace monsoonward
