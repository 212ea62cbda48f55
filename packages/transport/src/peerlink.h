#pragma once

#include "frame.h"
#include "monsoonward/transport/h2connection.h"

#include "monsoonward/transport/transport.h"

#include <optional>

namespace monsoonward
{

class PeerLink;

/// @brief Told what happens on a PeerLink.
class PeerLinkOwner
{
public:
    virtual ~PeerLinkOwner() = default;
    virtual Heartbeat ownHeartbeat() = 0;
    /// @return false when the link isn't wanted
    virtual bool linkUp(PeerLink &link, const Heartbeat &heartbeat) = 0;
    virtual void linkMessage(PeerLink &link, Message message) = 0;
    virtual void linkClaimMessage(PeerLink &link, const Claim &claim, Message message, std::size_t wireBytes) = 0;
    virtual void linkClaimSent(const ClaimId &claim, std::size_t bytes) = 0;
    virtual void linkClaimClosed(PeerLink &link, const Claim &claim, bool whole) = 0;
    /// The last call.
    virtual void linkDown(PeerLink &link, const std::string &why) = 0;
};

/// @brief One connection to another daemon: authentication, the session stream and the claims' streams.
/// The dialling side is the HTTP/2 client and opens every stream.
class PeerLink : public H2Handler, public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(IoLoop &loop, H2Side side, const std::string &secret, PeerLinkOwner &owner);

    void accept(cxxtools::net::TcpServer &server);
    void connect(const Address &address);
    void close();

    /// @return the other daemon; set from linkUp() on
    const std::optional<Peer> &peer() const;
    const H2Traffic &traffic() const;
    /// Cuts the link when it has been silent for @p timeout.
    void checkSilence(TimePoint now, Duration timeout);

    /// @param bytes an encoded message
    void sendSession(const std::string &bytes);
    void openClaim(const Claim &claim);
    /// @param last nothing follows on this side
    void sendClaim(const ClaimId &claim, std::string framed, bool last);
    void closeClaim(const ClaimId &claim);
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
        bool whole = false; // AnswerEnd or ClaimRejected was received
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
    void proved();
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
    TimePoint m_began {};
    std::optional<Peer> m_peer;
    std::unordered_map<StreamId, ClaimStream> m_claims;
    std::unordered_map<ClaimId, StreamId> m_claimStreams;
    bool m_closed = false;
};

} // namespace monsoonward
