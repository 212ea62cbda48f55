#include "enginespeed.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

// Assumed until the first measurement; the slowdown also while the batch size varies too little to fit it.
constexpr double defaultPrefillTokensPerSecond = 4000;
constexpr double defaultStepSeconds = 0.025;
constexpr double defaultSlowdownPerRequest = 0.05; // fraction of a step that each further request adds

constexpr double maxSlopeFactor = 4; // bounds the fitted slowdown to this factor of the default one
constexpr double prefillDecay = 0.85; // each new measurement multiplies the weight of the older ones by this
constexpr double stepDecay = 0.97;
constexpr double minCalibrationSteps = 20;
constexpr double minBatchVariance = 2; // with less variance of the batch size, the default slowdown is used
constexpr double minPrefillSeconds = 0.002;

} // namespace

void EngineSpeed::recordPrefill(double tokens, Duration duration)
{
    const double seconds = std::max(minPrefillSeconds, std::chrono::duration<double>(duration).count());
    m_prefillTokens = m_prefillTokens * prefillDecay + tokens;
    m_prefillSeconds = m_prefillSeconds * prefillDecay + seconds;
}

void EngineSpeed::recordDecodeStep(double batchSize, double seconds)
{
    m_weight = m_weight * stepDecay + 1;
    m_sumBatch = m_sumBatch * stepDecay + batchSize;
    m_sumBatchSquared = m_sumBatchSquared * stepDecay + batchSize * batchSize;
    m_sumSeconds = m_sumSeconds * stepDecay + seconds;
    m_sumBatchSeconds = m_sumBatchSeconds * stepDecay + batchSize * seconds;
    m_stepCount += 1;
}

double EngineSpeed::prefillTokensPerSecond() const
{
    return m_prefillSeconds > 0 ? m_prefillTokens / m_prefillSeconds : defaultPrefillTokensPerSecond;
}

double EngineSpeed::decodeStepSeconds(double batchSize) const
{
    if (m_weight <= 0) {
        return defaultStepSeconds * (1 + defaultSlowdownPerRequest * (batchSize - 1));
    }
    const double meanBatch = m_sumBatch / m_weight;
    const double meanSeconds = m_sumSeconds / m_weight;
    const double variance = m_sumBatchSquared / m_weight - meanBatch * meanBatch;
    // A step of a single request, if each further request adds the default slowdown.
    const double singleStepSeconds = meanSeconds / (1 + defaultSlowdownPerRequest * (meanBatch - 1));
    double slope = singleStepSeconds * defaultSlowdownPerRequest;
    if (variance > minBatchVariance) {
        const double fitted = (m_sumBatchSeconds / m_weight - meanBatch * meanSeconds) / variance;
        slope = std::clamp(fitted, slope / maxSlopeFactor, slope * maxSlopeFactor);
    }
    return std::max(meanSeconds + slope * (batchSize - meanBatch), singleStepSeconds / maxSlopeFactor);
}

bool EngineSpeed::isCalibrated() const
{
    return m_stepCount >= minCalibrationSteps;
}

} // namespace monsoonward
