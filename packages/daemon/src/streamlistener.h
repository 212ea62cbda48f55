#pragma once

#include "entrynode.h"

#include <monsoonward/transport/transport.h>

#include <memory>

namespace monsoonward
{

/// @brief Bounds of a StreamListener.
struct StreamListenerOptions
{
    Address listen;
    std::size_t maxBodyBytes = 0;
    std::uint32_t maxStreams = 100; ///< requests in progress on one connection
    MONSOONWARD_FIELDS(listen, maxBodyBytes, maxStreams)
};

/// @brief Callers over HTTP/2 (without TLS, prior knowledge): the answer is passed on as it comes.
///
/// The verdict follows the body as a trailer; a stream that is reset may have run and isn't whole. A caller that
/// resets its stream or disconnects cancels its request. What the caller hasn't taken stays at the engine.
class StreamListener
{
public:
    StreamListener(const StreamListenerOptions &options, EntryNode &node);
    ~StreamListener();
    StreamListener(const StreamListener &) = delete;
    StreamListener &operator=(const StreamListener &) = delete;

    /// Listens and serves. Unavailable when the address can't be listened on.
    Result<void> start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
