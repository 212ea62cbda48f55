#include <etcdjson.h>

#include <string>

using namespace monsoonward;

/// Parses an answer of the table service. An error must have a message.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto rows = parseRangeResponse(text);
    (void)parseTxnResponse(text);
    if (!rows && rows.error().message.empty()) {
        __builtin_trap();
    }
    return 0;
}
