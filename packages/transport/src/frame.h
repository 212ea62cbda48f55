#pragma once

#include <monsoonward/values/values.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Bytes of the length that precedes each message: big endian, without itself.
constexpr std::size_t frameHeaderBytes = 4;

/// @return @p payload with its length in front
std::string frame(std::string_view payload);

/// @brief Cuts a stream of bytes into the payloads that frame() wrote.
class FrameReader
{
public:
    /// @param maxPayload longest payload that is accepted, in bytes
    explicit FrameReader(std::size_t maxPayload);

    void setMaxPayload(std::size_t maxPayload);
    void append(std::string_view bytes);
    /// @return the next payload, nothing while it is incomplete, or Invalid when its length is out of range
    Result<std::optional<std::string>> next();

private:
    std::size_t m_maxPayload;
    std::string m_buffer;
};

} // namespace monsoonward
