#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <functional>

namespace monsoonward
{

/// @brief Limits the bytes of chunk extensions in one message. A parser counts them neither as header nor as body.
class ChunkExtensionLimit
{
public:
    /// Of all chunks of a message.
    static constexpr std::size_t maxBytes = std::size_t {64} * 1024;

    ChunkExtensionLimit()
        : m_onChunkHeader(
            [this](std::uint64_t /*size*/, boost::beast::string_view extension, boost::system::error_code &ec) {
                m_bytes += extension.size();
                if (m_bytes > maxBytes) {
                    ec = boost::beast::http::error::bad_chunk_extension;
                }
            })
    {
    }
    ChunkExtensionLimit(const ChunkExtensionLimit &) = delete;
    ChunkExtensionLimit &operator=(const ChunkExtensionLimit &) = delete;

    /// Limits the message that @p parser reads from now on.
    template<class Parser>
    void attachTo(Parser &parser)
    {
        m_bytes = 0;
        parser.on_chunk_header(m_onChunkHeader);
    }

private:
    std::size_t m_bytes = 0;
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)> m_onChunkHeader;
};

} // namespace monsoonward
