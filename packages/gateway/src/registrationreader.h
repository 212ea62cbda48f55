#pragma once

#include <functional>

namespace monsoonward
{

/// @brief Reads the registrations of engines apart from the regular calls, for decisions that need them as of now. What
/// was read is found in EngineDirectory::readAsOf().
class RegistrationReader
{
public:
    virtual ~RegistrationReader() = default;
    /// Reads the registrations as of now.
    /// @param done called once, on the event loop, when they have been read, or can't be read in time
    virtual void readNow(std::function<void()> done) = 0;
};

} // namespace monsoonward
