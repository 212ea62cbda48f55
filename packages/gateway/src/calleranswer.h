#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>

namespace monsoonward
{

/// @brief A whole answer to a caller.
struct CallerAnswer
{
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
};

/// @brief Where the answer to one request goes.
class CallerSink
{
public:
    virtual ~CallerSink() = default;
    /// The whole answer.
    virtual void answer(CallerAnswer answer) = 0;
    /// The head of an answer whose bytes follow as they come.
    virtual void begin(unsigned status, const boost::beast::http::fields &fields) = 0;
    /// More bytes; Exchange::taken() is called when the caller has taken them.
    virtual void bytes(std::string bytes) = 0;
    /// The answer is complete.
    virtual void finish() = 0;
    /// The answer stays incomplete: the connection is closed.
    virtual void breakOff() = 0;
};

} // namespace monsoonward
