#include <monsoonward/transport/transport.h>

#include <cstdlib>

using namespace monsoonward;

/// Decodes a configuration, as received from the object store or a peer. A valid one must survive encoding and
/// decoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto configuration = decodeConfiguration({reinterpret_cast<const char *>(data), size});
    if (configuration) {
        const auto again = decodeConfiguration(encodeConfiguration(configuration.value()));
        if (!again || again.value() != configuration.value()) {
            std::abort();
        }
    }
    return 0;
}
