#include "frame.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace monsoonward;

TEST_CASE("payloads are read back however the stream is split")
{
    const bool passed = rc::check([](const std::vector<std::string> &payloads, std::uint8_t step) {
        std::string bytes;
        for (const auto &it : payloads) {
            bytes += frame(it);
        }
        FrameReader reader(1000000);
        std::vector<std::string> read;
        for (std::size_t n = 0; n < bytes.size(); n += step + 1U) {
            reader.append(std::string_view(bytes).substr(n, step + 1U));
            for (auto it = reader.next().value(); it; it = reader.next().value()) {
                read.push_back(*it);
            }
        }
        RC_ASSERT(read == payloads);
    });
    CHECK(passed);
}

TEST_CASE("a payload over the limit is rejected as soon as its length is received")
{
    FrameReader reader(10);
    reader.append(frame(std::string(11, 'x')).substr(0, frameHeaderBytes));
    CHECK_FALSE(reader.next());
}
