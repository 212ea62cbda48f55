#include "monsoonward/dispatch/firstbytesmodel.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double curveWeight = 0.1; // of one answer: a bin looks back over about ten answers
constexpr double paceWeight = 0.1;
constexpr std::chrono::duration<double> fadeTime {3.0}; // about as long as a queue takes to drain
constexpr double slowestPace = 8; // one stalled answer doesn't shut an engine out
constexpr double fastestPace = 0.2;
constexpr double firstGuess = 0.05; // seconds, before anything was learned

} // namespace

std::size_t FirstBytesModel::binOf(double load)
{
    return std::min(bins - 1, static_cast<std::size_t>(std::max(0.0, load * binsPerLoad)));
}

const FirstBytesModel::Values &FirstBytesModel::fade(Curve &curve, TimePoint now)
{
    if (curve.fadedAt == now) {
        return curve.faded;
    }
    double lower = 0;
    for (std::size_t n = 0; n < bins; ++n) {
        auto seconds = curve.learned[n];
        if (seconds > lower && lower > 0) {
            seconds = lower + (seconds - lower) * std::exp(-(now - curve.learnedAt[n]) / fadeTime);
        }
        curve.faded[n] = seconds == 0 ? 0 : std::max(seconds, lower);
        lower = std::max(lower, seconds);
    }
    curve.fadedAt = now;
    return curve.faded;
}

double FirstBytesModel::at(const Values &values, double load)
{
    const auto bin = binOf(load);
    double seconds = 0;
    std::size_t last = 0;
    for (std::size_t n = 0; n <= bin; ++n) {
        if (values[n] > 0) {
            seconds = values[n];
            last = n;
        }
    }
    if (seconds == 0) {
        const auto *known = std::find_if(values.begin(), values.end(), [](double it) { return it > 0; });
        return known == values.end() ? firstGuess : *known;
    }
    // Beyond the slots, time grows with the queue; what lies further than was seen is extrapolated.
    const double lastLoad = std::max(1.0, static_cast<double>(last + 1) / binsPerLoad);
    return last < bin ? seconds * std::max(1.0, load / lastLoad) : seconds;
}

void FirstBytesModel::learn(
    const ServiceName &service, const EngineName &engine, double load, Duration length, TimePoint now)
{
    auto &curve = m_curves[service];
    auto &pace = m_paces.emplace(engine, 1.0).first->second;
    const double seconds = std::chrono::duration<double>(length).count();
    const double usual = at(fade(curve, now), load);
    pace += paceWeight * (std::clamp(seconds / usual, fastestPace, slowestPace) - pace);
    const auto n = binOf(load);
    const double normal = seconds / pace;
    auto &bin = curve.learned[n];
    const double fading = 1 - std::exp(-(now - curve.learnedAt[n]) / fadeTime);
    const double weight = std::max(curveWeight, fading);
    bin = bin == 0 ? normal : bin + weight * (normal - bin);
    curve.learnedAt[n] = now;
    curve.fadedAt = TimePoint();
}

Duration
FirstBytesModel::expected(const ServiceName &service, const EngineName &engine, double load, TimePoint now) const
{
    const auto it = m_curves.find(service);
    const double seconds = (it == m_curves.end() ? firstGuess : at(fade(it->second, now), load)) * pace(engine);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double FirstBytesModel::pace(const EngineName &engine) const
{
    const auto it = m_paces.find(engine);
    return it == m_paces.end() ? 1.0 : it->second;
}

void FirstBytesModel::forget(const EngineName &engine)
{
    m_paces.erase(engine);
}

} // namespace monsoonward
