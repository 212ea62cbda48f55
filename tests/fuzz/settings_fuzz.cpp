#include <monsoonward/daemon/settings.h>

#include <string>

using namespace monsoonward;

/// Parses a settings file. Every error must have a message.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto result = parseSettings("fuzz.ini", std::string(reinterpret_cast<const char *>(data), size));
    for (const auto &it : result.errors) {
        if (it.message.empty()) {
            __builtin_trap();
        }
    }
    return 0;
}
