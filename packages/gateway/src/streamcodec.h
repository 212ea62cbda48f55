#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <vector>

namespace monsoonward
{

/// @return whether the datagram is a message about a stream; otherwise it is a load report
bool isStreamMessage(const std::uint8_t *bytes, std::size_t size);
/// @return the message in its binary form, of a fixed size
std::vector<std::uint8_t> encodeStreamMessage(const StreamMessage &message);
/// Errors: Invalid.
Result<StreamMessage> decodeStreamMessage(const std::uint8_t *bytes, std::size_t size);
/// Decodes all messages of a datagram, which stand one behind the other. Bytes behind them that begin no message are
/// left out. Errors: Invalid.
Result<std::vector<StreamMessage>> decodeStreamMessages(const std::uint8_t *bytes, std::size_t size);

} // namespace monsoonward
