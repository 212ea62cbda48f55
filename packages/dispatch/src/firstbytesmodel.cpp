#include "monsoonward/dispatch/firstbytesmodel.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr double curveWeight = 0.1; // of one answer: a bin looks back over about ten answers
constexpr double paceWeight = 0.1;
constexpr double slowestPace = 8; // one stalled answer doesn't shut an engine out
constexpr double fastestPace = 0.2;
constexpr double firstGuess = 0.05; // seconds, before anything was learned

} // namespace

std::size_t FirstBytesModel::binOf(double load)
{
    return std::min(bins - 1, static_cast<std::size_t>(std::max(0.0, load * binsPerLoad)));
}

double FirstBytesModel::at(const Curve &curve, double load)
{
    const auto bin = binOf(load);
    double seconds = 0;
    std::size_t last = 0;
    for (std::size_t n = 0; n <= bin; ++n) {
        if (curve.seconds[n] > 0) {
            seconds = std::max(seconds, curve.seconds[n]);
            last = n;
        }
    }
    if (seconds == 0) {
        const auto *known = std::find_if(curve.seconds.begin(), curve.seconds.end(), [](double it) { return it > 0; });
        return known == curve.seconds.end() ? firstGuess : *known;
    }
    // Beyond the slots, time grows with the queue; what lies further than was seen is extrapolated.
    const double lastLoad = std::max(1.0, static_cast<double>(last + 1) / binsPerLoad);
    return last < bin ? seconds * std::max(1.0, load / lastLoad) : seconds;
}

void FirstBytesModel::learn(const ServiceName &service, const EngineName &engine, double load, Duration length)
{
    auto &curve = m_curves[service];
    auto &pace = m_paces.emplace(engine, 1.0).first->second;
    const double seconds = std::chrono::duration<double>(length).count();
    const double usual = at(curve, load);
    pace += paceWeight * (std::clamp(seconds / usual, fastestPace, slowestPace) - pace);
    auto &bin = curve.seconds[binOf(load)];
    const double normal = seconds / pace;
    bin = bin == 0 ? normal : bin + curveWeight * (normal - bin);
}

Duration FirstBytesModel::expected(const ServiceName &service, const EngineName &engine, double load) const
{
    const auto it = m_curves.find(service);
    const double seconds = (it == m_curves.end() ? firstGuess : at(it->second, load)) * pace(engine);
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
