#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>

namespace monsoonward
{

/// @brief An engine's speed, learned from its prefills and decode steps. Recent measurements count most, so that a
/// straggler shows within seconds and so does its recovery.
class EngineSpeed
{
public:
    /// @param tokens prompt tokens that were not cached
    /// @param duration from the start of the prefill to the first token
    void recordPrefill(double tokens, Duration duration);
    /// @param batchSize requests that decoded at once
    /// @param seconds between two tokens of one request
    void recordDecodeStep(double batchSize, double seconds);

    double prefillTokensPerSecond() const;
    /// @return seconds between two tokens of one request when @p batchSize requests decode at once
    double decodeStepSeconds(double batchSize) const;
    /// @return whether the speed rests on enough measurements to fill the engine
    bool isCalibrated() const;

private:
    double m_prefillTokens = 0; // decayed sums
    double m_prefillSeconds = 0;
    double m_stepCount = 0; // count of step measurements, not decayed
    double m_weight = 0; // decayed sums for a regression of step time over batch size
    double m_sumBatch = 0;
    double m_sumBatchSquared = 0;
    double m_sumSeconds = 0;
    double m_sumBatchSeconds = 0;
};

} // namespace monsoonward
