#pragma once

#include <monsoonward/values/values.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Size of a frame's header: the length of the payload in bytes, big endian.
constexpr std::size_t frameHeaderBytes = 4;

/// @return @p payload preceded by its length
std::string frame(std::string_view payload);

/// @brief Splits a stream of bytes into the payloads framed by frame().
class FrameReader
{
public:
    /// @param maxPayload size of the largest payload accepted, in bytes
    explicit FrameReader(std::size_t maxPayload);

    void setMaxPayload(std::size_t maxPayload);
    void append(std::string_view bytes);
    /// @return the next payload, nothing while it is incomplete, or Invalid when it exceeds the maximum
    Result<std::optional<std::string>> next();

private:
    std::size_t m_maxPayload;
    std::string m_buffer;
};

} // namespace monsoonward
