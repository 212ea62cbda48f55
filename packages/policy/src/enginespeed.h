#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>

namespace monsoonward
{

/// @brief Estimates an engine's speed from its measured prefills and decode steps. Recent measurements weigh most, so
/// that a slowdown of the engine, and its recovery, are noticed within seconds.
class EngineSpeed
{
public:
    /// @param tokens number of prompt tokens that were not cached
    /// @param duration time from the start of the prefill to the first token
    void recordPrefill(double tokens, Duration duration);
    /// @param batchSize number of requests that decoded at the same time
    /// @param seconds time between two tokens of one request
    void recordDecodeStep(double batchSize, double seconds);

    double prefillTokensPerSecond() const;
    /// @return the time between two tokens of one request while @p batchSize requests decode at the same time
    double decodeStepSeconds(double batchSize) const;
    /// @return whether enough decode steps were measured to rely on the estimate
    bool isCalibrated() const;

private:
    double m_prefillTokens = 0; // decayed sum
    double m_prefillSeconds = 0; // decayed sum
    double m_stepCount = 0; // measured decode steps, not decayed
    // Decayed sums for a linear regression of the step time on the batch size.
    double m_weight = 0;
    double m_sumBatch = 0;
    double m_sumBatchSquared = 0;
    double m_sumSeconds = 0;
    double m_sumBatchSeconds = 0;
};

} // namespace monsoonward
