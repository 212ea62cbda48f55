#pragma once

#include <stdexcept>
#include <string>

/// Invariants asserted inside the program. A violation goes to the installed handler (in a daemon: a numbered event and
/// a metric), then is thrown, so that the caller gives up the one request. Without a handler (tests) it is only thrown.
namespace monsoonward
{

/// @brief Thrown when an invariant doesn't hold.
class InvariantViolation : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// @brief Receives violations before they are thrown.
class InvariantHandler
{
public:
    virtual ~InvariantHandler() = default;
    /// @param name stable name of the invariant, such as "dispatch-once"
    /// @param detail the values concerned
    virtual void violated(const std::string &name, const std::string &detail) = 0;
};

/// Installs @p handler for the whole process; null removes it. The handler must outlive its installation.
void setInvariantHandler(InvariantHandler *handler);

/// @brief Throws InvariantViolation unless @p holds.
void checkInvariant(bool holds, const char *name, const std::string &detail);

} // namespace monsoonward
