#include "streamcodec.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

// Layout: marker, kind, flags, key (16 bytes), build (8), milliseconds left (4); numbers begin with the highest byte.
constexpr std::uint8_t marker = 0xc1; // begins no MessagePack value, so no load report
constexpr std::uint8_t doubtfulFlag = 1;
constexpr std::uint8_t confirmationFlag = 2;
constexpr std::size_t messageBytes = 3 + 16 + 8 + 4;
constexpr std::int64_t maxLeftMs = std::int64_t {24} * 60 * 60 * 1000;
constexpr unsigned bitsPerByte = 8;

void append(std::vector<std::uint8_t> &bytes, std::uint64_t n, std::size_t size)
{
    for (auto shift = size * bitsPerByte; shift > 0; shift -= bitsPerByte) {
        bytes.push_back(static_cast<std::uint8_t>(n >> (shift - bitsPerByte)));
    }
}

std::uint64_t take(const std::uint8_t *&bytes, std::size_t size)
{
    std::uint64_t n = 0;
    for (; size > 0; --size) {
        n = n << bitsPerByte | *bytes++;
    }
    return n;
}

} // namespace

bool isStreamMessage(const std::uint8_t *bytes, std::size_t size)
{
    return size > 0 && bytes[0] == marker;
}

std::vector<std::uint8_t> encodeStreamMessage(const StreamMessage &message)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(message.left).count();
    std::vector<std::uint8_t> bytes;
    bytes.reserve(messageBytes);
    append(bytes, marker, 1);
    append(bytes, static_cast<std::uint64_t>(message.kind), 1);
    const unsigned doubtful = message.isDoubtful ? doubtfulFlag : 0;
    const unsigned confirmation = message.asksForConfirmation ? confirmationFlag : 0;
    append(bytes, doubtful | confirmation, 1);
    append(bytes, message.stream.high, 8);
    append(bytes, message.stream.low, 8);
    append(bytes, message.build, 8);
    append(bytes, static_cast<std::uint64_t>(std::clamp<std::int64_t>(left, 0, maxLeftMs)), 4);
    return bytes;
}

Result<StreamMessage> decodeStreamMessage(const std::uint8_t *bytes, std::size_t size)
{
    if (size < messageBytes || bytes[0] != marker) {
        return Error {ErrorCode::Invalid, "the datagram is too short for a message about a stream"};
    }
    ++bytes;
    const auto kind = take(bytes, 1);
    if (kind > static_cast<std::uint64_t>(StreamMessage::Kind::Unknown)) {
        return Error {ErrorCode::Invalid, "unknown kind of message about a stream: " + std::to_string(kind)};
    }
    StreamMessage message;
    message.kind = static_cast<StreamMessage::Kind>(kind);
    const auto flags = take(bytes, 1);
    message.isDoubtful = (flags & doubtfulFlag) != 0;
    message.asksForConfirmation = (flags & confirmationFlag) != 0;
    message.stream.high = take(bytes, 8);
    message.stream.low = take(bytes, 8);
    message.build = take(bytes, 8);
    const auto left = static_cast<std::int64_t>(take(bytes, 4));
    if (left > maxLeftMs) {
        return Error {ErrorCode::Invalid, "the time limit of a stream is out of range"};
    }
    message.left = std::chrono::milliseconds(left);
    return message;
}

Result<std::vector<StreamMessage>> decodeStreamMessages(const std::uint8_t *bytes, std::size_t size)
{
    std::vector<StreamMessage> messages;
    do {
        BOOST_OUTCOME_TRY(message, decodeStreamMessage(bytes, size));
        messages.push_back(message);
        bytes += messageBytes;
        size -= messageBytes;
    } while (isStreamMessage(bytes, size));
    return messages;
}

} // namespace monsoonward
