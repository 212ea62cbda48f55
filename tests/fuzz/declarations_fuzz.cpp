#include <monsoonward/control/control.h>

#include <string>

using namespace monsoonward;

/// Parses declarations. Valid ones must survive writing and parsing again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto result = parseDeclarations({{"fuzz.ini", text}});
    if (!result.errors.empty()) {
        return 0;
    }
    const auto again = parseDeclarations({{"again.ini", writeDeclarations(result.configuration)}});
    if (!again.errors.empty() || again.configuration != result.configuration) {
        __builtin_trap();
    }
    return 0;
}
