#include "frame.h"

#include <array>

namespace monsoonward
{

namespace
{

constexpr unsigned bitsPerByte = 8;

std::size_t readLength(const std::string &buf)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < frameHeaderBytes; ++n) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(buf[n]);
    }
    return length;
}

} // namespace

std::string frame(std::string_view payload)
{
    std::string bytes;
    bytes.reserve(frameHeaderBytes + payload.size());
    for (std::size_t n = frameHeaderBytes; n > 0; --n) {
        bytes.push_back(static_cast<char>((payload.size() >> (bitsPerByte * (n - 1))) & 0xff));
    }
    bytes.append(payload);
    return bytes;
}

FrameReader::FrameReader(std::size_t maxPayload)
    : m_maxPayload(maxPayload)
{
}

void FrameReader::setMaxPayload(std::size_t maxPayload)
{
    m_maxPayload = maxPayload;
}

void FrameReader::append(std::string_view bytes)
{
    m_buffer.append(bytes);
}

Result<std::optional<std::string>> FrameReader::next()
{
    if (m_buffer.size() < frameHeaderBytes) {
        return std::optional<std::string>();
    }
    const auto length = readLength(m_buffer);
    if (length > m_maxPayload) {
        return Error {ErrorCode::Invalid,
                      "a payload of " + std::to_string(length) + " bytes exceeds the limit of "
                          + std::to_string(m_maxPayload) + " bytes"};
    }
    if (m_buffer.size() < frameHeaderBytes + length) {
        return std::optional<std::string>();
    }
    std::optional<std::string> payload(m_buffer.substr(frameHeaderBytes, length));
    m_buffer.erase(0, frameHeaderBytes + length);
    return payload;
}

} // namespace monsoonward
