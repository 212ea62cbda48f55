#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <string_view>
#include <vector>

namespace monsoonward
{

/// @brief Version of the encoding. Messages of any other version are rejected.
constexpr unsigned wireVersion = 1;

/// @brief Largest encoded message, in bytes. Entries reject requests whose body is larger than this.
constexpr std::size_t maxMessageBytes = std::size_t {16} * 1024 * 1024;

/// @return @p message as MessagePack: [version, index of the type in Message, [fields...]]
std::string encode(const Message &message);

/// @return the message, or Invalid when @p bytes are malformed, of another version, nested too deeply or too large
Result<Message> decode(std::string_view bytes);

/// @return @p configuration as MessagePack: [version, [fields...]]
std::string encodeConfiguration(const Configuration &configuration);
Result<Configuration> decodeConfiguration(std::string_view bytes);

/// @return @p configurations as MessagePack: [version, [[fields...]...]], in order
std::string encodeConfigurations(const std::vector<Configuration> &configurations);
Result<std::vector<Configuration>> decodeConfigurations(std::string_view bytes);

} // namespace monsoonward
