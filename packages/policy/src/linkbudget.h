#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief A token bucket that limits the bytes of request bodies that an entry sends to other regions.
class LinkBudget
{
public:
    LinkBudget(const Clock &clock, double bytesPerSecond, double burstBytes);

    /// A body larger than the burst is allowed while the bucket is full.
    /// @return whether @p bytes may be sent now
    bool allows(double bytes) const;
    /// Takes @p bytes from the bucket, which may go negative.
    void spend(double bytes);

private:
    double availableBytes() const;

    const Clock &m_clock;
    double m_bytesPerSecond;
    double m_burstBytes;
    double m_availableBytes; // at m_updatedAt
    TimePoint m_updatedAt;
};

} // namespace monsoonward
