#include "eventloop.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <stdexcept>
#include <vector>

using namespace monsoonward;

TEST_CASE("an exception in one handler is reported, and the other handlers run")
{
    boost::asio::io_context io;
    std::vector<std::string> errors;
    bool hasRun = false;
    boost::asio::post(io, [] { throw std::runtime_error("malformed message"); });
    boost::asio::post(io, [&] { hasRun = true; });
    runEventLoop(io, [&](const std::string &it) { errors.push_back(it); });
    CHECK(errors == std::vector<std::string> {"malformed message"});
    CHECK(hasRun);
}
