#pragma once

#include <algorithm>

namespace monsoonward
{

/// @brief Limits retries to a share of the requests, so that failing targets don't multiply the load.
class RetryBudget
{
public:
    /// Must be called for each new request; adds a fraction of one retry.
    void earn()
    {
        m_savedRetries = std::min(m_savedRetries + retriesPerRequest, maxSavedRetries);
    }
    /// Uses up one retry. @return false if the budget is spent
    bool trySpend()
    {
        if (m_savedRetries < 1) {
            return false;
        }
        m_savedRetries -= 1;
        return true;
    }

private:
    static constexpr double retriesPerRequest = 0.2;
    static constexpr double maxSavedRetries = 50;

    double m_savedRetries = maxSavedRetries;
};

} // namespace monsoonward
