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
    /// @param took from the start of the prefill to the first token
    void learnPrefill(double tokens, Duration took);
    /// @param decoding requests that decoded at once
    /// @param seconds between two tokens of one request
    void learnStep(double decoding, double seconds);

    double prefillTokensPerSecond() const;
    /// @return seconds between two tokens of one request when @p decoding requests decode at once
    double stepSeconds(double decoding) const;
    /// @return whether the speed rests on enough measurements to fill the engine
    bool isKnown() const;

private:
    double m_prefillTokens = 0; // decayed sums
    double m_prefillSeconds = 0;
    double m_steps = 0; // count of step measurements, not decayed
    double m_weight = 0; // decayed sums for a regression of step time over batch size
    double m_sumN = 0;
    double m_sumNN = 0;
    double m_sumS = 0;
    double m_sumNS = 0;
};

} // namespace monsoonward
