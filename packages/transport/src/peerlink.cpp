#include "peerlink.h"

#include "authentication.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxAuthBytes = 256; // of one message before authentication
constexpr std::size_t maxSessionQueueBytes = std::size_t {16} * 1024 * 1024; // waiting to be sent on the session stream
constexpr auto authTimeout = std::chrono::seconds(2);
constexpr H2Limits peerLimits {4096, 512 * 1024};
constexpr const char *sessionPath = "/monsoonward/session";
constexpr const char *claimPath = "/monsoonward/claim";

Headers requestHeaders(const char *path)
{
    return {{":method", "POST"}, {":scheme", "http"}, {":authority", "monsoonward"}, {":path", path}};
}

std::string pathOf(const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        if (name == ":path") {
            return value;
        }
    }
    return {};
}

} // namespace

PeerLink::PeerLink(IoLoop &loop, H2Side side, const std::string &secret, PeerLinkOwner &owner)
    : m_secret(secret)
    , m_side(side)
    , m_owner(owner)
    , m_connection(std::make_shared<H2Connection>(loop, side, peerLimits, *this))
    , m_sessionReader(maxAuthBytes)
    , m_startTime(SteadyClock().now())
{
}

void PeerLink::accept(cxxtools::net::TcpServer &server)
{
    m_state = State::WaitHello;
    m_connection->accept(server);
}

void PeerLink::connect(const Address &address)
{
    m_connection->connect(address);
}

void PeerLink::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_connection->close();
    auto claims = std::move(m_claimsByStream);
    m_claimsByStream.clear();
    m_streamsByClaim.clear();
    for (const auto &[stream, it] : claims) {
        if (it.claim) {
            m_owner.linkClaimClosed(*this, *it.claim, it.complete);
        }
    }
}

const std::optional<Peer> &PeerLink::peer() const
{
    return m_peer;
}

const H2Traffic &PeerLink::traffic() const
{
    return m_connection->traffic();
}

void PeerLink::checkTimeouts(TimePoint now, Duration timeout)
{
    if (m_state != State::Up && now - m_startTime >= authTimeout) {
        fail("authentication timed out");
    } else if (m_state == State::Up && now - m_connection->lastReceived() >= timeout) {
        fail("nothing was received within the heartbeat timeout");
    }
}

void PeerLink::sendOnSession(const std::string &bytes)
{
    if (m_connection->queuedBytes(m_session) + bytes.size() > maxSessionQueueBytes) {
        fail("the send queue of the session stream is full");
        return;
    }
    m_connection->write(m_session, frame(bytes));
}

void PeerLink::openClaim(const Claim &claim)
{
    const auto stream = m_connection->open(requestHeaders(claimPath));
    if (stream == 0) {
        m_owner.linkClaimClosed(*this, claim, false);
        return;
    }
    auto &it = m_claimsByStream.emplace(stream, ClaimStream(maxMessageBytes)).first->second;
    it.claim = claim;
    m_streamsByClaim[claim.claim] = stream;
    m_connection->write(stream, frame(encode(claim)));
}

void PeerLink::sendOnClaim(const ClaimId &claim, std::string framed, bool last)
{
    const auto it = m_streamsByClaim.find(claim);
    if (it == m_streamsByClaim.end()) {
        return;
    }
    m_connection->write(it->second, std::move(framed));
    if (last) {
        m_connection->finish(it->second);
    }
}

void PeerLink::closeClaim(const ClaimId &claim)
{
    const auto it = m_streamsByClaim.find(claim);
    if (it != m_streamsByClaim.end()) {
        m_connection->reset(it->second);
    }
}

void PeerLink::consumed(const ClaimId &claim, std::size_t wireBytes)
{
    const auto it = m_streamsByClaim.find(claim);
    if (it != m_streamsByClaim.end()) {
        m_connection->consume(it->second, wireBytes);
    }
}

void PeerLink::connected()
{
    if (m_side == H2Side::Server) {
        return;
    }
    m_session = m_connection->open(requestHeaders(sessionPath));
    m_dialNonce = makeNonce();
    m_state = State::WaitChallenge;
    sendOnSession(encode(AuthHello {m_dialNonce}));
}

void PeerLink::streamHeaders(StreamId stream, const Headers &headers)
{
    if (m_side == H2Side::Client || m_closed) {
        return;
    }
    const auto path = pathOf(headers);
    if (path == sessionPath && m_session == 0) {
        m_session = stream;
    } else if (path == claimPath && m_state == State::Up) {
        m_claimsByStream.emplace(stream, ClaimStream(maxMessageBytes));
    } else {
        fail("unexpected stream for path " + path);
        return;
    }
    m_connection->respond(stream, {{":status", "200"}});
}

void PeerLink::streamData(StreamId stream, std::string_view bytes)
{
    if (m_closed) {
        return;
    }
    if (stream == m_session) {
        m_connection->consume(stream, bytes.size());
        sessionData(bytes);
    } else {
        claimData(stream, bytes);
    }
}

void PeerLink::streamEnded(StreamId stream)
{
    if (stream == m_session) {
        fail("the session stream ended");
    }
}

void PeerLink::streamClosed(StreamId stream)
{
    if (stream == m_session) {
        fail("the session stream was reset or closed");
        return;
    }
    const auto it = m_claimsByStream.find(stream);
    if (it == m_claimsByStream.end()) {
        return;
    }
    const auto claim = std::move(it->second.claim);
    const bool complete = it->second.complete;
    m_claimsByStream.erase(it);
    if (claim) {
        m_streamsByClaim.erase(claim->claim);
        m_owner.linkClaimClosed(*this, *claim, complete);
    }
}

void PeerLink::streamSent(StreamId stream, std::size_t sent)
{
    const auto it = m_claimsByStream.find(stream);
    if (it != m_claimsByStream.end() && it->second.claim) {
        m_owner.linkClaimSent(it->second.claim->claim, sent);
    }
}

void PeerLink::disconnected(const std::string &why)
{
    fail(why);
}

void PeerLink::sessionData(std::string_view bytes)
{
    m_sessionReader.append(bytes);
    while (!m_closed) {
        auto payload = m_sessionReader.next();
        if (!payload) {
            fail(payload.error().message);
            return;
        }
        if (!payload.value()) {
            return;
        }
        auto message = decode(*payload.value());
        if (!message) {
            fail(message.error().message);
            return;
        }
        sessionMessage(std::move(message.value()));
    }
}

void PeerLink::sessionMessage(Message message)
{
    if (m_state == State::Up) {
        m_owner.linkMessage(*this, std::move(message));
        return;
    }
    if (m_state != State::WaitHeartbeat) {
        authenticate(message);
        return;
    }
    const auto *heartbeat = std::get_if<Heartbeat>(&message);
    if (heartbeat == nullptr) {
        fail("the first message after authentication is not a heartbeat");
        return;
    }
    m_state = State::Up;
    m_peer = heartbeat->from;
    if (!m_owner.linkUp(*this, *heartbeat)) {
        m_peer.reset();
        fail("the link was rejected as redundant");
    }
}

void PeerLink::authenticate(const Message &message)
{
    const auto *hello = std::get_if<AuthHello>(&message);
    const auto *challenge = std::get_if<AuthChallenge>(&message);
    const auto *proof = std::get_if<AuthProof>(&message);
    if (m_state == State::WaitHello && hello != nullptr) {
        m_dialNonce = hello->nonce;
        m_acceptNonce = makeNonce();
        m_state = State::WaitDialProof;
        sendOnSession(encode(AuthChallenge {m_acceptNonce}));
    } else if (m_state == State::WaitChallenge && challenge != nullptr) {
        m_acceptNonce = challenge->nonce;
        m_state = State::WaitAcceptProof;
        sendOnSession(encode(AuthProof {dialProof(m_secret, m_dialNonce, m_acceptNonce)}));
    } else if (m_state == State::WaitDialProof && proof != nullptr
               && equalInConstantTime(proof->proof, dialProof(m_secret, m_dialNonce, m_acceptNonce))) {
        sendOnSession(encode(AuthProof {acceptProof(m_secret, m_dialNonce, m_acceptNonce)}));
        onAuthenticated();
    } else if (m_state == State::WaitAcceptProof && proof != nullptr
               && equalInConstantTime(proof->proof, acceptProof(m_secret, m_dialNonce, m_acceptNonce))) {
        onAuthenticated();
    } else {
        fail("authentication failed");
    }
}

void PeerLink::onAuthenticated()
{
    m_state = State::WaitHeartbeat;
    m_sessionReader.setMaxPayload(maxMessageBytes);
    sendOnSession(encode(m_owner.ownHeartbeat()));
}

void PeerLink::claimData(StreamId stream, std::string_view bytes)
{
    const auto it = m_claimsByStream.find(stream);
    if (it == m_claimsByStream.end()) {
        return;
    }
    if (m_side == H2Side::Client) {
        m_connection->consume(stream, bytes.size());
    }
    auto &claim = it->second;
    claim.reader.append(bytes);
    while (!m_closed) {
        auto payload = claim.reader.next();
        auto message = payload && payload.value() ? decode(*payload.value()) : Result<Message>(Error {});
        if (payload && !payload.value()) {
            return;
        }
        if (!payload || !message) {
            m_connection->reset(stream);
            return;
        }
        claimMessage(stream, claim, std::move(message.value()), frameHeaderBytes + payload.value()->size());
    }
}

void PeerLink::claimMessage(StreamId stream, ClaimStream &claim, Message message, std::size_t wireBytes)
{
    if (!claim.claim) {
        const auto *opened = std::get_if<Claim>(&message);
        if (opened == nullptr || opened->claim.target != m_peer->incarnation
            || !m_streamsByClaim.emplace(opened->claim, stream).second) {
            m_connection->reset(stream);
            return;
        }
        claim.claim = *opened;
        m_connection->consume(stream, wireBytes);
    }
    if (std::holds_alternative<AnswerEnd>(message) || std::holds_alternative<ClaimRejected>(message)) {
        claim.complete = true;
        m_connection->finish(stream);
    }
    m_owner.linkClaimMessage(*this, *claim.claim, std::move(message), wireBytes);
}

void PeerLink::fail(const std::string &why)
{
    if (m_closed) {
        return;
    }
    close();
    m_owner.linkDown(*this, why);
}

} // namespace monsoonward
