#include <monsoonward/transport/transport.h>

#include <cstdlib>

using namespace monsoonward;

/// Bytes of a peer: refused, or read as a message that encodes to bytes which read the same.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto message = decode({reinterpret_cast<const char *>(data), size});
    if (message) {
        const auto again = decode(encode(message.value()));
        if (!again || encode(again.value()) != encode(message.value())) {
            std::abort();
        }
    }
    return 0;
}
