#pragma once

#include <algorithm>

namespace monsoonward
{

/// @brief Bounds retries to a share of the requests, so that failing targets don't multiply the load.
class RetryBudget
{
public:
    /// Each new request earns a part of one retry.
    void request()
    {
        m_tokens = std::min(m_tokens + retriesPerRequest, maxSavedRetries);
    }
    /// @return whether one retry may be made; it is spent then
    bool spend()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double retriesPerRequest = 0.2;
    static constexpr double maxSavedRetries = 50;

    double m_tokens = maxSavedRetries;
};

} // namespace monsoonward
