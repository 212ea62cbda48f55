#pragma once

#include <stdexcept>
#include <string>

/// Run-time checks of internal invariants. A violation is reported to the installed handler (in a daemon: a log event
/// and a metric) and then thrown, so that only the request being processed fails. Without a handler, as in tests, it is
/// only thrown.
namespace monsoonward
{

/// @brief Thrown by checkInvariant() when the condition is false.
class InvariantViolation : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// @brief Called with each violation before it is thrown.
class InvariantHandler
{
public:
    virtual ~InvariantHandler() = default;
    /// @param name stable name of the invariant, such as "dispatch-once"
    /// @param detail the values that violate it
    virtual void violated(const std::string &name, const std::string &detail) = 0;
};

/// Installs @p handler for the whole process; null removes it. The handler must stay alive until it is removed.
void setInvariantHandler(InvariantHandler *handler);

/// @brief Reports and throws an InvariantViolation when @p condition is false.
void checkInvariant(bool condition, const char *name, const std::string &detail);

} // namespace monsoonward
