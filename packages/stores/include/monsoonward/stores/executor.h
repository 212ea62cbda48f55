#pragma once

#include <functional>

namespace monsoonward
{

/// @brief Runs functions on the control thread, in the order in which they were posted.
class Executor
{
public:
    virtual ~Executor() = default;
    /// Called from any thread; returns at once.
    virtual void post(std::function<void()> task) = 0;
};

} // namespace monsoonward
