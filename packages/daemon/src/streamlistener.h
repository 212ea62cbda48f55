#pragma once

#include "entrynode.h"

#include <monsoonward/transport/transport.h>

#include <memory>

namespace monsoonward
{

/// @brief Address and limits of a StreamListener.
struct StreamListenerOptions
{
    Address listen;
    std::size_t maxBodyBytes = 0;
    std::uint32_t maxStreams = 100; ///< concurrent requests per connection
    MONSOONWARD_FIELDS(listen, maxBodyBytes, maxStreams)
};

/// @brief An HTTP/2 server (cleartext, with prior knowledge) that streams answers to callers.
///
/// The verdict follows the body as a trailer. If the stream is reset instead, the request may have run and its answer
/// is incomplete. A caller that resets its stream or disconnects cancels its request. Flow control extends to the
/// engine: a slow caller slows down reading from it.
class StreamListener
{
public:
    StreamListener(const StreamListenerOptions &options, EntryNode &node);
    ~StreamListener();
    StreamListener(const StreamListener &) = delete;
    StreamListener &operator=(const StreamListener &) = delete;

    /// Starts to listen and serve.
    /// @return Unavailable if it can't listen on the address
    Result<void> start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
