#include "streamcodec.h"

#include "reportcodec.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

StreamMessage tell()
{
    return {StreamMessage::Kind::Tell, {0x0123456789abcdef, 0xfedcba9876543210}, 0x1122334455667788, true, 1234ms};
}

} // namespace

TEST_CASE("a message about a stream survives encoding and decoding")
{
    for (const auto kind : {StreamMessage::Kind::Tell,
                            StreamMessage::Kind::Ask,
                            StreamMessage::Kind::Known,
                            StreamMessage::Kind::Unknown}) {
        auto message = tell();
        message.kind = kind;
        const auto bytes = encodeStreamMessage(message);
        CHECK(isStreamMessage(bytes.data(), bytes.size()));
        CHECK(decodeStreamMessage(bytes.data(), bytes.size()).value() == message);
        CHECK(bytes.size() == 31);
    }
}

TEST_CASE("a malformed message about a stream is rejected")
{
    auto bytes = encodeStreamMessage(tell());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(!decodeStreamMessage(bytes.data(), n));
    }
    auto unknownKind = bytes;
    unknownKind[1] = 9;
    CHECK(!decodeStreamMessage(unknownKind.data(), unknownKind.size()));
    auto longTime = bytes;
    longTime[27] = 0xff;
    CHECK(!decodeStreamMessage(longTime.data(), longTime.size()));
    bytes.push_back(1); // a field of a later version
    CHECK(decodeStreamMessage(bytes.data(), bytes.size()).value() == tell());
}

TEST_CASE("messages about streams and load reports are told apart")
{
    LoadReport report;
    report.host = HostName("g");
    const auto bytes = encodeReport(report);
    CHECK(!isStreamMessage(bytes.data(), bytes.size()));
    const auto message = encodeStreamMessage(tell());
    CHECK(!decodeReport(message.data(), message.size()));
    CHECK(!isStreamMessage(nullptr, 0));
}
