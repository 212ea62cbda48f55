#include "monsoonward/callers/chunklimit.h"

#include <boost/beast/http.hpp>

#include <doctest/doctest.h>

using namespace monsoonward;
namespace http = boost::beast::http;

namespace
{

/// @return the error of a parser that reads @p chunks and the end of the body
boost::system::error_code parse(const std::string &chunks)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    ChunkLimit limit;
    limit.attachTo(parser);
    const std::string message = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
    boost::system::error_code ec;
    std::size_t parsed = 0;
    while (!ec && !parser.is_done()) {
        parsed += parser.put(boost::asio::buffer(message.data() + parsed, message.size() - parsed), ec);
    }
    return ec;
}

std::string repeated(const std::string &text, std::uint64_t n)
{
    std::string all;
    all.reserve(text.size() * n);
    while (n-- > 0) {
        all += text;
    }
    return all;
}

} // namespace

TEST_CASE("many short chunks are accepted up to a limit, and any number of longer ones")
{
    CHECK_FALSE(parse(repeated("1\r\nx\r\n", ChunkLimit::maxShortChunks / 2)));
    CHECK(parse(repeated("1\r\nx\r\n", ChunkLimit::maxShortChunks * 2)) == http::error::bad_chunk);
    CHECK_FALSE(
        parse(repeated("40\r\n" + std::string(ChunkLimit::bytesPerChunk, 'x') + "\r\n", ChunkLimit::maxShortChunks)));
}

TEST_CASE("the extensions of all chunks together are limited")
{
    const std::string extension = ";x=" + std::string(1000, 'y');
    CHECK_FALSE(parse(repeated("1" + extension + "\r\nx\r\n", 60)));
    CHECK(parse(repeated("1" + extension + "\r\nx\r\n", 70)) == http::error::bad_chunk_extension);
}
