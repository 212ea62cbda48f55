#pragma once

#include "frame.h"
#include "monsoonward/transport/h2connection.h"

#include "monsoonward/transport/transport.h"

#include <optional>

namespace monsoonward
{

class PeerLink;

/// @brief Callbacks of a PeerLink, called on the I/O thread.
class PeerLinkOwner
{
public:
    virtual ~PeerLinkOwner() = default;
    virtual Heartbeat ownHeartbeat() = 0;
    /// The peer has authenticated and sent its first heartbeat. @return false to reject the link
    virtual bool linkUp(PeerLink &link, const Heartbeat &heartbeat) = 0;
    /// Received a message on the session stream.
    virtual void linkMessage(PeerLink &link, Message message) = 0;
    /// Received a message on a claim's stream.
    virtual void linkClaimMessage(PeerLink &link, const Claim &claim, Message message, std::size_t wireBytes) = 0;
    /// @p bytes were taken from the send queue of the claim's stream.
    virtual void linkClaimSent(const ClaimId &claim, std::size_t bytes) = 0;
    /// The claim's stream was closed. @param complete whether AnswerEnd or ClaimRejected was received before
    virtual void linkClaimClosed(PeerLink &link, const Claim &claim, bool complete) = 0;
    /// The link was lost; no other callback follows. @param why the reason, for logs
    virtual void linkDown(PeerLink &link, const std::string &why) = 0;
};

/// @brief One connection to another daemon: authentication, the session stream and the streams of claims. The side that
/// opened the connection is the HTTP/2 client and opens all streams.
class PeerLink : public H2Handler, public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(IoLoop &loop, H2Side side, const std::string &secret, PeerLinkOwner &owner);

    /// Accepts the next pending connection of @p server.
    void accept(cxxtools::net::TcpServer &server);
    void connect(const Address &address);
    /// Closes the connection without calling PeerLinkOwner::linkDown(); reports its claims as closed.
    void close();

    /// @return the other daemon, or nothing until PeerLinkOwner::linkUp() is called
    const std::optional<Peer> &peer() const;
    const H2Traffic &traffic() const;
    /// Closes the link when authentication takes too long, or when nothing has been received for @p timeout.
    void checkTimeouts(TimePoint now, Duration timeout);

    /// @param bytes an encoded message
    void sendOnSession(const std::string &bytes);
    void openClaim(const Claim &claim);
    /// @param framed an encoded message with its length, see frame()
    /// @param last whether to end this side of the stream
    void sendOnClaim(const ClaimId &claim, std::string framed, bool last);
    void closeClaim(const ClaimId &claim);
    /// Returns @p wireBytes to the stream's flow-control window.
    void consumed(const ClaimId &claim, std::size_t wireBytes);

private:
    enum class State { Connecting, WaitHello, WaitChallenge, WaitDialProof, WaitAcceptProof, WaitHeartbeat, Up };

    struct ClaimStream
    {
        explicit ClaimStream(std::size_t maxPayload)
            : reader(maxPayload)
        {
        }
        FrameReader reader;
        std::optional<Claim> claim;
        bool complete = false; // AnswerEnd or ClaimRejected was received
    };

    void connected() override;
    void streamHeaders(StreamId stream, const Headers &headers) override;
    void streamData(StreamId stream, std::string_view bytes) override;
    void streamEnded(StreamId stream) override;
    void streamClosed(StreamId stream) override;
    void streamSent(StreamId stream, std::size_t sent) override;
    void disconnected(const std::string &why) override;

    void sessionData(std::string_view bytes);
    void sessionMessage(Message message);
    void authenticate(const Message &message);
    void onAuthenticated();
    void claimData(StreamId stream, std::string_view bytes);
    void claimMessage(StreamId stream, ClaimStream &claim, Message message, std::size_t wireBytes);
    void fail(const std::string &why);

    const std::string &m_secret;
    H2Side m_side;
    PeerLinkOwner &m_owner;
    std::shared_ptr<H2Connection> m_connection;
    State m_state = State::Connecting;
    StreamId m_session = 0;
    FrameReader m_sessionReader;
    std::string m_dialNonce;
    std::string m_acceptNonce;
    TimePoint m_startTime {};
    std::optional<Peer> m_peer;
    std::unordered_map<StreamId, ClaimStream> m_claimsByStream;
    std::unordered_map<ClaimId, StreamId> m_streamsByClaim;
    bool m_closed = false;
};

} // namespace monsoonward
