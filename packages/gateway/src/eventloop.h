#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace monsoonward
{

/// Runs the event loop until it is stopped or has nothing left to do. An exception that escapes from a handler ends
/// that handler only.
/// @param onError called with the description of each such exception
void runEventLoop(boost::asio::io_context &io, const std::function<void(const std::string &)> &onError);

} // namespace monsoonward
