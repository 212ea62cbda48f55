#include <scenario.h>

#include <stdexcept>
#include <string>

using namespace monsoonward;

/// Runs a scenario without a fleet, so that only the interpreter and the argument checks are exercised.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    runScenario("fuzz.lua", text, []() -> std::unique_ptr<Fleet> { throw std::invalid_argument("no fleet"); });
    return 0;
}
