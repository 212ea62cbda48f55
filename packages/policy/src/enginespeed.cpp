#include "enginespeed.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr double unknownPrefillTokensPerSecond = 4000;
constexpr double unknownStepSeconds = 0.025;
constexpr double unknownSlowdown = 0.05; // part of a step that each further request adds
constexpr double slowdownRange = 4; // the learned part stays within this factor of the unknown one
constexpr double prefillMemory = 0.85; // weight that older measurements keep with each new one
constexpr double stepMemory = 0.97;
constexpr double knownSteps = 20;
constexpr double minSpread = 2; // variance of the batch size for a slope of its own
constexpr double minPrefillSeconds = 0.002;

} // namespace

void EngineSpeed::learnPrefill(double tokens, Duration took)
{
    const double seconds = std::max(minPrefillSeconds, std::chrono::duration<double>(took).count());
    m_prefillTokens = m_prefillTokens * prefillMemory + tokens;
    m_prefillSeconds = m_prefillSeconds * prefillMemory + seconds;
}

void EngineSpeed::learnStep(double decoding, double seconds)
{
    m_weight = m_weight * stepMemory + 1;
    m_sumN = m_sumN * stepMemory + decoding;
    m_sumNN = m_sumNN * stepMemory + decoding * decoding;
    m_sumS = m_sumS * stepMemory + seconds;
    m_sumNS = m_sumNS * stepMemory + decoding * seconds;
    m_steps += 1;
}

double EngineSpeed::prefillTokensPerSecond() const
{
    return m_prefillSeconds > 0 ? m_prefillTokens / m_prefillSeconds : unknownPrefillTokensPerSecond;
}

double EngineSpeed::stepSeconds(double decoding) const
{
    if (m_weight <= 0) {
        return unknownStepSeconds * (1 + unknownSlowdown * (decoding - 1));
    }
    const double meanN = m_sumN / m_weight;
    const double meanS = m_sumS / m_weight;
    const double variance = m_sumNN / m_weight - meanN * meanN;
    // One request alone takes `alone`; each further one adds a part of it.
    const double alone = meanS / (1 + unknownSlowdown * (meanN - 1));
    double slope = alone * unknownSlowdown;
    if (variance > minSpread) {
        const double fitted = (m_sumNS / m_weight - meanN * meanS) / variance;
        slope = std::clamp(fitted, slope / slowdownRange, slope * slowdownRange);
    }
    return std::max(meanS + slope * (decoding - meanN), alone / slowdownRange);
}

bool EngineSpeed::isKnown() const
{
    return m_steps >= knownSteps;
}

} // namespace monsoonward
