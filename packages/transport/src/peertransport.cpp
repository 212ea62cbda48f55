#include "monsoonward/transport/peertransport.h"

#include "answerqueue.h"
#include "peerlink.h"

#include <algorithm>
#include <map>
#include <set>

namespace monsoonward
{

namespace
{

constexpr int listenBacklog = 128;
constexpr auto rejectedRetryDelay = std::chrono::seconds(10); // of an address whose link was rejected

/// State of the connection to one address given to setPeerAddresses().
struct OutgoingLink
{
    std::shared_ptr<PeerLink> link;
    TimePoint nextAttempt {};
    Duration retryDelay {};
    TimePoint rejectedUntil {}; // set when linkUp() rejects the link, for one of the reasons given there
};

} // namespace

class PeerTransport::Impl : public cxxtools::Connectable, public PeerLinkOwner
{
public:
    Impl(const PeerTransportOptions &options, PeerHandler &handler, EventLog &events)
        : m_options(options)
        , m_handler(handler)
        , m_events(events)
    {
        cxxtools::connect(m_server.connectionPending, *this, &Impl::onConnection);
    }

    Result<void> start()
    {
        try {
            if (!m_options.listen.ip.empty()) {
                m_server.listen(m_options.listen.ip, m_options.listen.port, listenBacklog);
                m_loop.selector().add(m_server);
            }
        } catch (const std::exception &error) {
            return Error {ErrorCode::Unavailable,
                          "peer.listen " + m_options.listen.ip + ":" + std::to_string(m_options.listen.port) + ": "
                              + error.what()};
        }
        m_loop.start([this] { tick(); });
        return boost::outcome_v2::success();
    }

    void stop()
    {
        m_loop.post([this] {
            m_stopping = true;
            m_server.close();
            m_outgoing.clear();
            while (!m_links.empty()) {
                closeLink(**m_links.begin());
            }
        });
        m_loop.stop();
        m_answers.closeAll();
    }

    void setPeerAddresses(const std::vector<Address> &addresses)
    {
        m_loop.post([this, addresses] {
            std::map<Address, OutgoingLink> updated;
            for (const auto &it : addresses) {
                const auto old = m_outgoing.find(it);
                updated[it] = old == m_outgoing.end() ? OutgoingLink() : std::move(old->second);
                if (old != m_outgoing.end()) {
                    m_outgoing.erase(old);
                }
            }
            auto removed = std::move(m_outgoing);
            m_outgoing = std::move(updated);
            for (const auto &[address, it] : removed) {
                if (it.link) {
                    closeLink(*it.link);
                }
            }
        });
    }

    void send(const Peer &to, const Message &message)
    {
        m_loop.post([this, to, bytes = encode(message)] {
            const auto it = m_linksByPeer.find(to);
            if (it != m_linksByPeer.end()) {
                it->second->sendOnSession(bytes);
            }
        });
    }

    void broadcast(const Message &message)
    {
        m_loop.post([this, bytes = encode(message)] {
            const auto peers = m_linksByPeer;
            for (const auto &[peer, link] : peers) {
                link->sendOnSession(bytes);
            }
        });
    }

    void openClaim(const Peer &to, const Claim &claim)
    {
        m_loop.post([this, to, claim] {
            const auto it = m_linksByPeer.find(to);
            if (it == m_linksByPeer.end()) {
                m_handler.claimClosed(to, claim);
                return;
            }
            m_linksByClaim[claim.claim] = it->second;
            it->second->openClaim(claim);
        });
    }

    void closeClaim(const ClaimId &claim)
    {
        m_loop.post([this, claim] {
            if (auto *link = linkOfClaim(claim)) {
                link->closeClaim(claim);
            }
        });
    }

    std::shared_ptr<AnswerWriter> answerWriter(const ClaimId &claim)
    {
        return m_answers.open(claim, [this, claim](std::string framed, bool last) {
            m_loop.post([this, claim, bytes = std::move(framed), last] {
                if (auto *link = linkOfClaim(claim)) {
                    link->sendOnClaim(claim, bytes, last);
                } else {
                    m_answers.close(claim);
                }
            });
        });
    }

    void answerClaim(const ClaimId &claim, std::shared_ptr<const Message> message)
    {
        m_loop.post([this, claim, message = std::move(message)] {
            auto *link = linkOfClaim(claim);
            if (link != nullptr) {
                const bool last = std::holds_alternative<ClaimRejected>(*message);
                link->sendOnClaim(claim, frame(encode(*message)), last);
            }
        });
    }

    void consumed(const ClaimId &claim, std::size_t wireBytes)
    {
        m_loop.post([this, claim, wireBytes] {
            if (auto *link = linkOfClaim(claim)) {
                link->consumed(claim, wireBytes);
            }
        });
    }

    std::vector<PeerTraffic> traffic() const
    {
        const std::lock_guard lock(m_trafficMutex);
        std::vector<PeerTraffic> list;
        for (const auto &[host, it] : m_trafficByHost) {
            list.push_back({host, it.sent, it.received});
        }
        return list;
    }

private:
    Heartbeat ownHeartbeat() override
    {
        return m_handler.heartbeat();
    }

    bool linkUp(PeerLink &link, const Heartbeat &heartbeat) override
    {
        const auto &peer = heartbeat.from;
        auto *outgoing = outgoingOf(link);
        const bool isSelf = peer.host == m_options.own.host;
        const bool bothEntries = heartbeat.role == HostRole::Entry && m_options.role == HostRole::Entry;
        const bool wrongDirection = bothEntries && outgoing != nullptr && peer.host < m_options.own.host;
        // Rejects a connection to itself, a second one to the same peer, and between two entries the one that was
        // dialled by the entry whose host name sorts last.
        if (isSelf || wrongDirection || m_linksByPeer.count(peer) != 0) {
            if (outgoing != nullptr) {
                outgoing->rejectedUntil = m_clock.now() + rejectedRetryDelay;
            }
            return false;
        }
        if (outgoing != nullptr) {
            outgoing->retryDelay = {};
        }
        m_linksByPeer[peer] = link.shared_from_this();
        m_handler.peerUp(peer, heartbeat.role);
        m_handler.sessionMessage(peer, heartbeat);
        return true;
    }

    void linkMessage(PeerLink &link, Message message) override
    {
        m_handler.sessionMessage(*link.peer(), std::move(message));
    }

    void linkClaimMessage(PeerLink &link, const Claim &claim, Message message, std::size_t wireBytes) override
    {
        if (std::holds_alternative<Claim>(message)) {
            m_linksByClaim[claim.claim] = link.shared_from_this();
        }
        m_handler.claimMessage(*link.peer(), claim, std::move(message), wireBytes);
    }

    void linkClaimSent(const ClaimId &claim, std::size_t bytes) override
    {
        m_answers.onSent(claim, bytes);
    }

    void linkClaimClosed(PeerLink &link, const Claim &claim, bool complete) override
    {
        m_linksByClaim.erase(claim.claim);
        m_answers.close(claim.claim);
        if (!complete && link.peer()) {
            m_handler.claimClosed(*link.peer(), claim);
        }
    }

    void linkDown(PeerLink &link, const std::string &why) override
    {
        removeLink(link, why);
    }

    /// Closes a link and removes it.
    void closeLink(PeerLink &link)
    {
        const auto keep = link.shared_from_this();
        link.close();
        removeLink(link, "closed by this daemon");
    }

    /// Removes a closed link, schedules the reconnect if we dialled it, and reports the peer as down.
    void removeLink(PeerLink &link, const std::string &why)
    {
        const auto self = link.shared_from_this();
        if (auto *outgoing = outgoingOf(link)) {
            outgoing->link.reset();
            outgoing->retryDelay =
                std::clamp(outgoing->retryDelay * 2, m_options.firstRetryDelay, m_options.maxRetryDelay);
            outgoing->nextAttempt = m_clock.now() + outgoing->retryDelay;
        }
        countTraffic(link);
        m_countedTraffic.erase(&link);
        m_links.erase(self);
        m_loop.releaseLater(self);
        const auto peer = link.peer();
        const auto it = peer ? m_linksByPeer.find(*peer) : m_linksByPeer.end();
        if (it != m_linksByPeer.end() && it->second == self) {
            m_linksByPeer.erase(it);
            m_handler.peerDown(*peer);
        } else if (why == "authentication failed") {
            m_events.record(Event::PeerRefused, Severity::Warning, why);
        }
    }

    void onConnection(cxxtools::net::TcpServer &server)
    {
        const auto link = std::make_shared<PeerLink>(m_loop, H2Side::Server, m_options.sharedSecret, *this);
        m_links.insert(link);
        try {
            link->accept(server);
        } catch (const std::exception &) {
            closeLink(*link);
        }
    }

    void tick()
    {
        const auto now = m_clock.now();
        const auto links = m_links;
        for (const auto &it : links) {
            countTraffic(*it);
            it->checkTimeouts(now, m_options.idleTimeout);
        }
        for (auto &[address, it] : m_outgoing) {
            if (!it.link && now >= it.nextAttempt && now >= it.rejectedUntil && !m_stopping) {
                it.link = std::make_shared<PeerLink>(m_loop, H2Side::Client, m_options.sharedSecret, *this);
                m_links.insert(it.link);
                it.link->connect(address);
            }
        }
    }

    void countTraffic(const PeerLink &link)
    {
        if (!link.peer()) {
            return;
        }
        auto &counted = m_countedTraffic[&link];
        const auto &now = link.traffic();
        const std::lock_guard lock(m_trafficMutex);
        auto &total = m_trafficByHost[link.peer()->host];
        total.sent += now.sent - counted.sent;
        total.received += now.received - counted.received;
        counted = now;
    }

    PeerLink *linkOfClaim(const ClaimId &claim)
    {
        const auto it = m_linksByClaim.find(claim);
        return it == m_linksByClaim.end() ? nullptr : it->second.get();
    }

    OutgoingLink *outgoingOf(const PeerLink &link)
    {
        for (auto &[address, it] : m_outgoing) {
            if (it.link.get() == &link) {
                return &it;
            }
        }
        return nullptr;
    }

    PeerTransportOptions m_options;
    PeerHandler &m_handler;
    EventLog &m_events;
    SteadyClock m_clock;
    IoLoop m_loop;
    cxxtools::net::TcpServer m_server;
    AnswerQueues m_answers;
    std::set<std::shared_ptr<PeerLink>> m_links;
    std::map<Peer, std::shared_ptr<PeerLink>> m_linksByPeer;
    std::map<Address, OutgoingLink> m_outgoing;
    std::unordered_map<ClaimId, std::shared_ptr<PeerLink>> m_linksByClaim;
    std::map<const PeerLink *, H2Traffic>
        m_countedTraffic; // part of the traffic of each link already in m_trafficByHost
    mutable std::mutex m_trafficMutex;
    std::map<HostName, H2Traffic> m_trafficByHost;
    bool m_stopping = false;
};

PeerTransport::PeerTransport(const PeerTransportOptions &options, PeerHandler &handler, EventLog &events)
    : m_impl(std::make_unique<Impl>(options, handler, events))
{
}

PeerTransport::~PeerTransport()
{
    stop();
}

Result<void> PeerTransport::start()
{
    return m_impl->start();
}

void PeerTransport::stop()
{
    m_impl->stop();
}

void PeerTransport::setPeerAddresses(const std::vector<Address> &addresses)
{
    m_impl->setPeerAddresses(addresses);
}

void PeerTransport::send(const Peer &to, const Message &message)
{
    m_impl->send(to, message);
}

void PeerTransport::broadcast(const Message &message)
{
    m_impl->broadcast(message);
}

void PeerTransport::openClaim(const Peer &to, const Claim &claim)
{
    m_impl->openClaim(to, claim);
}

void PeerTransport::closeClaim(const ClaimId &claim)
{
    m_impl->closeClaim(claim);
}

std::shared_ptr<AnswerWriter> PeerTransport::answerWriter(const ClaimId &claim)
{
    return m_impl->answerWriter(claim);
}

void PeerTransport::answerClaim(const ClaimId &claim, std::shared_ptr<const Message> message)
{
    m_impl->answerClaim(claim, std::move(message));
}

void PeerTransport::consumed(const ClaimId &claim, std::size_t wireBytes)
{
    m_impl->consumed(claim, wireBytes);
}

std::vector<PeerTraffic> PeerTransport::traffic() const
{
    return m_impl->traffic();
}

} // namespace monsoonward
