#include "monsoonward/values/invariant.h"

#include <atomic>

namespace monsoonward
{

namespace
{
std::atomic<InvariantHandler *> installedHandler {nullptr};
} // namespace

void setInvariantHandler(InvariantHandler *handler)
{
    installedHandler = handler;
}

void checkInvariant(bool condition, const char *name, const std::string &detail)
{
    if (condition) {
        return;
    }
    if (auto *handler = installedHandler.load()) {
        handler->violated(name, detail);
    }
    throw InvariantViolation(std::string(name) + ": " + detail);
}

} // namespace monsoonward
