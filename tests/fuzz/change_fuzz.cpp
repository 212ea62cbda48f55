#include <change.h>
#include <sampleconfiguration.h>

using namespace monsoonward;

/// Decodes a configuration change, as received from a peer or the table. A valid one must apply with the hash that was
/// computed beforehand.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto change = decodeChange({reinterpret_cast<const char *>(data), size});
    if (!change) {
        return 0;
    }
    const auto base = sampleConfiguration(ConfigurationSize {});
    const auto expected = hashAfter(contentHash(base), base, change.value());
    if (contentHash(applied(base, change.value())) != expected) {
        __builtin_trap();
    }
    describe(change.value(), base);
    return 0;
}
