#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <string_view>
#include <vector>

namespace monsoonward
{

/// @brief Version of the encoding; daemons refuse messages of another version.
constexpr unsigned wireVersion = 1;

/// @brief Largest encoded message, in bytes. Bodies larger than this are refused at the entry.
constexpr std::size_t maxMessageBytes = std::size_t {16} * 1024 * 1024;

/// @return @p message as MessagePack: [version, kind, [fields...]]
std::string encode(const Message &message);

/// @return the message, or Invalid when @p bytes are malformed, of another version, nested too deep or too large
Result<Message> decode(std::string_view bytes);

/// @return @p configuration encoded in the same way
std::string encodeConfiguration(const Configuration &configuration);
Result<Configuration> decodeConfiguration(std::string_view bytes);

/// @return @p configurations encoded in the same way, in order
std::string encodeConfigurations(const std::vector<Configuration> &configurations);
Result<std::vector<Configuration>> decodeConfigurations(std::string_view bytes);

} // namespace monsoonward
