#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <functional>

namespace monsoonward
{

/// @brief Limits the chunks of one message that is read as a whole: the bytes of their extensions, which a parser
/// counts neither as header nor as body, and the number of short chunks, each of which takes time.
class ChunkLimit
{
public:
    /// Of all chunks of a message.
    static constexpr std::size_t maxExtensionBytes = std::size_t {64} * 1024;
    /// In addition to one chunk for each bytesPerChunk of the body.
    static constexpr std::uint64_t maxShortChunks = std::uint64_t {128} * 1024;
    static constexpr std::uint64_t bytesPerChunk = 64;

    ChunkLimit()
        : m_onChunkHeader(
            [this](std::uint64_t size, boost::beast::string_view extension, boost::system::error_code &ec) {
                m_extensionBytes += extension.size();
                m_bodyBytes += size;
                ++m_chunks;
                if (m_extensionBytes > maxExtensionBytes) {
                    ec = boost::beast::http::error::bad_chunk_extension;
                } else if (m_chunks > maxShortChunks + m_bodyBytes / bytesPerChunk) {
                    ec = boost::beast::http::error::bad_chunk;
                }
            })
    {
    }
    ChunkLimit(const ChunkLimit &) = delete;
    ChunkLimit &operator=(const ChunkLimit &) = delete;

    /// Limits the message that @p parser reads from now on.
    template<class Parser>
    void attachTo(Parser &parser)
    {
        m_extensionBytes = 0;
        m_bodyBytes = 0;
        m_chunks = 0;
        parser.on_chunk_header(m_onChunkHeader);
    }

private:
    std::size_t m_extensionBytes = 0;
    std::uint64_t m_bodyBytes = 0; // as the chunk headers state
    std::uint64_t m_chunks = 0;
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)> m_onChunkHeader;
};

} // namespace monsoonward
