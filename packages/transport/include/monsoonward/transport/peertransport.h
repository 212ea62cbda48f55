#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <vector>

namespace monsoonward
{

/// @brief Told what other daemons do. All calls come on the I/O thread and must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    /// @return the heartbeat that opens a session: the own identity and state at this moment
    virtual Heartbeat heartbeat() = 0;
    /// A peer has proved that it knows the shared secret and has named itself.
    virtual void peerUp(const Peer &peer, HostRole role) = 0;
    /// Its connection is lost; claimClosed() was called for each of its open claims before.
    virtual void peerDown(const Peer &peer) = 0;
    /// A message on the session stream.
    virtual void sessionMessage(const Peer &from, Message message) = 0;
    /// A message on a claim's stream. At the entry the first one is the Claim itself.
    /// @param wireBytes what PeerTransport::consumed() gives back once the message was taken (entry only)
    virtual void claimMessage(const Peer &from, const Claim &claim, Message message, std::size_t wireBytes) = 0;
    /// The claim's stream was closed before AnswerEnd or ClaimRejected.
    virtual void claimClosed(const Peer &from, const Claim &claim) = 0;
};

/// @brief Sends an answer on its claim's stream, from one thread of the caller's.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;
    /// Takes an AnswerBegin, AnswerChunk or AnswerEnd; waits while the stream's send queue is full.
    /// @return false when the stream is closed; nothing more will be sent then
    virtual bool write(const Message &message) = 0;
};

/// @brief Settings of a PeerTransport.
struct PeerTransportOptions
{
    Peer own;
    HostRole role = HostRole::Entry;
    Address listen; ///< entries only; an empty IP number: don't listen
    std::string sharedSecret;
    Duration idleTimeout = std::chrono::milliseconds(1500); ///< a connection without a byte for so long is cut
    Duration retryAfter = std::chrono::milliseconds(100); ///< first wait before dialling again; doubles
    Duration retryLimit = std::chrono::seconds(2); ///< longest wait
    MONSOONWARD_FIELDS(own, role, listen, sharedSecret, idleTimeout, retryAfter, retryLimit)
};

/// @brief Bytes and connections of a PeerTransport, for metrics.
struct PeerTraffic
{
    HostName host;
    std::uint64_t sent = 0; ///< bytes
    std::uint64_t received = 0; ///< bytes
    MONSOONWARD_FIELDS(host, sent, received)
};

/// @brief Connections to other daemons: HTTP/2 with one session stream and one stream for each claim.
/// docs/DESIGN.md describes the streams. One thread of its own; every method may be called from any thread.
///
///     PeerTransport transport(options, handler, events);
///     transport.start();
///     transport.dial({{"10.0.0.1", 7000}});
class PeerTransport
{
public:
    PeerTransport(const PeerTransportOptions &options, PeerHandler &handler, EventLog &events);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Listens and starts the I/O thread. Unavailable when the address can't be listened on.
    Result<void> start();
    /// Ends all connections and the I/O thread.
    void stop();

    /// Keeps a connection to each of @p addresses from now on and to no other.
    void setPeerAddresses(const std::vector<Address> &addresses);
    /// Sends on the session stream; lost when the peer is not connected. A peer whose queue is full is cut off.
    void send(const Peer &to, const Message &message);
    /// Sends to every connected peer.
    void broadcast(const Message &message);

    /// Target: opens a stream to the entry with @p claim as its first message.
    void openClaim(const Peer &to, const Claim &claim);
    /// Target: cuts the claim's stream.
    void closeClaim(const ClaimId &claim);
    /// Target: the writer for the answer to a claim that was handed over.
    std::shared_ptr<AnswerWriter> answerWriter(const ClaimId &claim);

    /// Entry: answers a claim by HandOver or ClaimRejected.
    void answerClaim(const ClaimId &claim, std::shared_ptr<const Message> message);
    /// Entry: the reader has taken a message of the claim's stream.
    void consumed(const ClaimId &claim, std::size_t wireBytes);

    /// @return traffic by peer host, for peers that are connected or were
    std::vector<PeerTraffic> traffic() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
