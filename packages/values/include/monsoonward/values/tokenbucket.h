#pragma once

#include "monsoonward/values/time.h"

namespace monsoonward
{

/// @brief A level that grows at a rate up to a size. Whoever uses it decides whether the level suffices; it may become
/// negative.
class TokenBucket
{
public:
    /// @param now the level grows from then on
    /// @param level at that time
    explicit TokenBucket(TimePoint now = TimePoint(), double level = 0);

    /// Adds what has grown since the last call.
    /// @param perSecond growth in tokens per second
    /// @param size upper bound of the level
    void refill(double perSecond, double size, TimePoint now);
    void take(double tokens);
    void giveBack(double tokens);
    /// Lowers the level to @p size if it is higher.
    void limitTo(double size);
    /// @return the level after the last change
    double level() const;
    /// @return the level to which refill() would raise it
    double levelAt(double perSecond, double size, TimePoint now) const;

private:
    double m_level;
    TimePoint m_refilledAt;
};

} // namespace monsoonward
