#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Limits the bytes of request bodies that an entry sends to other regions.
class LinkBudget
{
public:
    LinkBudget(const Clock &clock, double bytesPerSecond, double burstBytes);

    /// A body larger than the burst is allowed if nothing was sent for long.
    /// @return whether @p bytes may be sent now
    bool allows(double bytes) const;
    /// Counts @p bytes that are sent, also if they exceed what is allowed.
    void spend(double bytes);

private:
    const Clock &m_clock;
    double m_bytesPerSecond;
    double m_burstBytes;
    TokenBucket m_bytes;
};

} // namespace monsoonward
