#pragma once

#include <functional>

namespace monsoonward
{

/// @brief Runs tasks on the control thread, in the order in which they were posted.
class Executor
{
public:
    virtual ~Executor() = default;
    /// Queues @p task and returns at once. Thread-safe.
    virtual void post(std::function<void()> task) = 0;
};

} // namespace monsoonward
