#include "exchange.h"

#include <boost/beast/http/rfc7230.hpp>

#include <array>

namespace monsoonward
{

namespace http = boost::beast::http;

namespace
{

// Headers that are not forwarded: they apply to one connection or to the framing of its messages.
const std::array<http::field, 9> hopByHopFields {http::field::connection,
                                                 http::field::keep_alive,
                                                 http::field::proxy_connection,
                                                 http::field::te,
                                                 http::field::trailer,
                                                 http::field::transfer_encoding,
                                                 http::field::content_length,
                                                 http::field::upgrade,
                                                 http::field::expect};

} // namespace

http::fields endToEndFields(const http::fields &source)
{
    http::fields fields = source;
    const auto [first, last] = source.equal_range(http::field::connection);
    for (auto line = first; line != last; ++line) {
        for (const auto &it : http::token_list(line->value())) {
            if (!boost::beast::iequals(it, "host")) { // belongs to the request whatever the peer says
                fields.erase(it);
            }
        }
    }
    for (const auto it : hopByHopFields) {
        fields.erase(it);
    }
    return fields;
}

} // namespace monsoonward
