#pragma once

#include <monsoonward/values/values.h>

#include <map>

namespace monsoonward
{

/// @brief Learns how long the engines of a service take to read one token of a prompt, from the times to the first
/// bytes of requests of different length: the slope of the regression line, over which delays that don't depend on the
/// length cancel out.
class PrefillModel
{
public:
    /// @param tokens of the prompt that the engine had to read
    /// @param length time from sending the request to the first bytes
    void learn(const ServiceName &service, double tokens, Duration length);
    /// @return time that reading so many tokens takes at an engine of usual speed; 0 before enough is known
    Duration timeToRead(const ServiceName &service, double tokens) const;

private:
    struct Moments
    {
        double weight = 0;
        double tokens = 0;
        double seconds = 0;
        double tokensSquared = 0;
        double product = 0;
    };
    std::map<ServiceName, Moments> m_moments; // exponentially weighted sums over the requests
};

} // namespace monsoonward
