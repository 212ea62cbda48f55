#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <vector>

namespace monsoonward
{

/// @brief Callbacks of a PeerTransport, called on the I/O thread. They must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    /// @return the heartbeat to open a session with: this daemon's identity and current state
    virtual Heartbeat heartbeat() = 0;
    /// A connection is up: the peer has authenticated and sent its first heartbeat.
    virtual void peerUp(const Peer &peer, HostRole role) = 0;
    /// The connection was lost. claimClosed() has been called before for each of its open claims.
    virtual void peerDown(const Peer &peer) = 0;
    /// Received a message on the session stream.
    virtual void sessionMessage(const Peer &from, Message message) = 0;
    /// Received a message on a claim's stream. At an entry the first one is the Claim itself.
    /// @param wireBytes encoded size; an entry passes it to PeerTransport::consumed() once it has processed the message
    virtual void claimMessage(const Peer &from, const Claim &claim, Message message, std::size_t wireBytes) = 0;
    /// The claim's stream was closed before AnswerEnd or ClaimRejected was received.
    virtual void claimClosed(const Peer &from, const Claim &claim) = 0;
};

/// @brief Sends an answer on its claim's stream. To be used by one thread at a time.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;
    /// Queues an AnswerBegin, AnswerChunk or AnswerEnd. Blocks while the stream's send queue is full.
    /// @return false when the stream is closed and nothing more can be sent
    virtual bool write(const Message &message) = 0;
};

/// @brief Settings of a PeerTransport.
struct PeerTransportOptions
{
    Peer own;
    HostRole role = HostRole::Entry;
    Address listen; ///< for entries only; with an empty IP address the daemon doesn't listen
    std::string sharedSecret;
    /// A connection that receives nothing for so long is closed.
    Duration idleTimeout = std::chrono::milliseconds(1500);
    Duration firstRetryDelay = std::chrono::milliseconds(100); ///< before the first reconnect; doubles with each
    Duration maxRetryDelay = std::chrono::seconds(2); ///< upper limit of the doubling
    MONSOONWARD_FIELDS(own, role, listen, sharedSecret, idleTimeout, firstRetryDelay, maxRetryDelay)
};

/// @brief Bytes exchanged with one peer host, for metrics.
struct PeerTraffic
{
    HostName host;
    std::uint64_t sent = 0; ///< bytes
    std::uint64_t received = 0; ///< bytes
    MONSOONWARD_FIELDS(host, sent, received)
};

/// @brief Connections to other daemons: HTTP/2 with one session stream and one stream for each claim, as described in
/// docs/DESIGN.md. Runs an I/O thread of its own; all methods may be called from any thread.
///
///     PeerTransport transport(options, handler, events);
///     transport.start();
///     transport.setPeerAddresses({{"10.0.0.1", 7000}});
class PeerTransport
{
public:
    PeerTransport(const PeerTransportOptions &options, PeerHandler &handler, EventLog &events);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Listens on the configured address and starts the I/O thread.
    /// @return Unavailable when listening fails
    Result<void> start();
    /// Closes all connections and ends the I/O thread.
    void stop();

    /// Replaces the set of addresses to dial: keeps a connection to each, reconnects when it is lost, and closes the
    /// connections to addresses that are no longer in the set.
    void setPeerAddresses(const std::vector<Address> &addresses);
    /// Sends on the session stream. The message is dropped when the peer isn't connected; when its send queue is full,
    /// the connection is closed.
    void send(const Peer &to, const Message &message);
    /// Sends to every connected peer.
    void broadcast(const Message &message);

    /// Target: opens a stream to the entry and sends @p claim as its first message.
    void openClaim(const Peer &to, const Claim &claim);
    /// Target: resets the claim's stream.
    void closeClaim(const ClaimId &claim);
    /// Target: @return the writer for the answer to a request that was handed over
    std::shared_ptr<AnswerWriter> answerWriter(const ClaimId &claim);

    /// Entry: answers a claim with HandOver or ClaimRejected.
    void answerClaim(const ClaimId &claim, std::shared_ptr<const Message> message);
    /// Entry: a message of the claim's stream was processed; returns its bytes to the flow-control window.
    void consumed(const ClaimId &claim, std::size_t wireBytes);

    /// @return traffic of each peer host that has been connected
    std::vector<PeerTraffic> traffic() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
