#include <monsoonward/transport/transport.h>

#include <cstdlib>

using namespace monsoonward;

/// Decodes a message from a peer. A valid one must encode to the same bytes after another encoding and decoding.
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
