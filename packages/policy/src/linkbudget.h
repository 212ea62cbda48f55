#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Bytes of request bodies that an entry may send over the link between the regions: a token bucket.
class LinkBudget
{
public:
    LinkBudget(const Clock &clock, double bytesPerSecond, double burstBytes);

    /// @return whether @p bytes may be sent now
    bool allows(double bytes) const;
    void spend(double bytes);

private:
    double availableBytes() const;

    const Clock &m_clock;
    double m_bytesPerSecond;
    double m_burstBytes;
    double m_availableBytes;
    TimePoint m_updatedAt;
};

} // namespace monsoonward
