#include "node.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>

namespace monsoonward
{

namespace
{

constexpr auto operatorTimeout = std::chrono::seconds(10);

Peer makeOwnPeer(const Settings &settings)
{
    SystemRandom random;
    return {settings.host, makeIncarnation(random)};
}

PeerTransportOptions transportOptions(const Settings &settings, const Peer &own)
{
    PeerTransportOptions options;
    options.own = own;
    options.role = settings.role;
    if (settings.role == HostRole::Entry) {
        options.listen = settings.peerListen;
    }
    options.sharedSecret = settings.sharedSecret;
    options.idleTimeout = settings.heartbeatTimeout;
    return options;
}

bool isControlMessage(const Message &message)
{
    return std::holds_alternative<Heartbeat>(message) || std::holds_alternative<ConfigurationOffer>(message)
        || std::holds_alternative<ConfigurationRequest>(message) || std::holds_alternative<TargetStatus>(message);
}

} // namespace

Node::Node(const Settings &settings, const Clock &clock, EventLog &events, Metrics &metrics)
    : m_settings(settings)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_own(makeOwnPeer(settings))
    , m_transport(std::make_unique<PeerTransport>(transportOptions(settings, m_own), *this, events))
{
}

Node::~Node() = default;

void Node::startControl(ControlPart *control)
{
    m_control = control;
    m_loop.start([this] { tick(); },
                 [this](const std::string &what) {
                     m_events.record(Event::InvariantViolated,
                                     Severity::Error,
                                     "unhandled exception on the control thread: " + what);
                 });
}

Result<void> Node::startTransport()
{
    auto started = m_transport->start();
    if (started) {
        m_loop.post([this] { updatePeerAddresses(); });
    }
    return started;
}

void Node::stopTransport()
{
    m_transport->stop();
}

void Node::stopControl()
{
    m_loop.stop();
}

ControlLoop &Node::loop()
{
    return m_loop;
}

const Peer &Node::own() const
{
    return m_own;
}

void Node::beginShutdown()
{
    m_stopping = true;
    m_loop.post([this] {
        machineBeginShutdown();
        m_transport->broadcast(heartbeat());
    });
}

bool Node::idle()
{
    bool idle = false;
    m_loop.call([&] { idle = machineIdle(); });
    return idle;
}

std::string Node::dump()
{
    nlohmann::json root;
    m_loop.call([&] {
        root["host"] = m_own.host.text();
        root["incarnation"] = textOf(m_own.incarnation);
        root["role"] = m_settings.role == HostRole::Entry ? "entry" : "target";
        root["revision"] = m_revision.load();
        root["stopping"] = m_stopping.load();
        root["machine"] = nlohmann::json::parse(machineDump(), nullptr, false);
        if (m_control != nullptr) {
            root["control"] = nlohmann::json::parse(m_control->dump(), nullptr, false);
        }
    });
    root["peerTraffic"] = nlohmann::json::array();
    for (const auto &it : m_transport->traffic()) {
        root["peerTraffic"].push_back({{"host", it.host.text()}, {"sent", it.sent}, {"received", it.received}});
    }
    return root.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

OperatorReply Node::handleOperatorRequest(const OperatorRequest &request)
{
    const auto reply = std::make_shared<std::promise<OperatorReply>>();
    auto future = reply->get_future();
    m_loop.post([this, request, reply] {
        if (m_control == nullptr) {
            reply->set_value({503, "{\"error\":\"no control part\"}"});
            return;
        }
        m_control->handle(request, [reply](const OperatorReply &it) { reply->set_value(it); });
    });
    if (future.wait_for(operatorTimeout) != std::future_status::ready) {
        return {504, "{\"error\":\"the call may have taken effect; look at the status\"}"};
    }
    return future.get();
}

Heartbeat Node::heartbeat()
{
    return {m_own, m_settings.role, ++m_heartbeatNumber, m_revision, m_stopping};
}

void Node::peerUp(const Peer &peer, HostRole role)
{
    m_loop.post([this, peer, role] {
        if (m_control != nullptr) {
            m_control->peerUp(peer, role);
        }
        machinePeerUp(peer, role);
    });
}

void Node::peerDown(const Peer &peer)
{
    m_loop.post([this, peer] {
        if (m_control != nullptr) {
            m_control->peerDown(peer);
        }
        machinePeerDown(peer);
    });
}

void Node::sessionMessage(const Peer &from, Message message)
{
    m_loop.post([this, from, message = std::move(message)] {
        if (m_control != nullptr && isControlMessage(message)) {
            m_control->message(from, message);
        }
        machineMessage(from, message);
    });
}

void Node::send(const Peer &to, const Message &message)
{
    if (const auto *status = std::get_if<TargetStatus>(&message)) {
        updateStatusMetrics(*status);
    }
    m_transport->send(to, message);
}

void Node::updateStatusMetrics(const TargetStatus &status)
{
    m_metrics.setSlots(status.target, status.freeSlots, status.running);
    if (!m_configuration) {
        return;
    }
    for (const auto &tier : m_configuration->tiers) {
        const auto isTier = [&tier](const TierLoad &it) { return it.tier == tier.tier; };
        const auto load = std::find_if(status.tiers.begin(), status.tiers.end(), isTier);
        m_metrics.setWaitingRequests(status.service, tier.tier, load == status.tiers.end() ? 0 : load->waiting);
    }
}

void Node::adopt(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
    m_revision = configuration->revision;
    m_metrics.setRevision(configuration->revision);
    machineConfigure(configuration);
    updatePeerAddresses();
}

PeerTransport &Node::transport()
{
    return *m_transport;
}

const Settings &Node::settings() const
{
    return m_settings;
}

const Clock &Node::clock() const
{
    return m_clock;
}

EventLog &Node::events()
{
    return m_events;
}

Metrics &Node::metrics()
{
    return m_metrics;
}

bool Node::stopping() const
{
    return m_stopping;
}

void Node::tick()
{
    if (m_control != nullptr) {
        m_control->tick();
    }
    machineTick();
    const auto now = m_clock.now();
    if (now - m_lastHeartbeat >= m_settings.heartbeatInterval) {
        m_lastHeartbeat = now;
        m_transport->broadcast(heartbeat());
        updateTrafficMetrics();
    }
}

void Node::updatePeerAddresses()
{
    std::vector<Address> addresses;
    if (!m_configuration) {
        addresses = m_settings.entries;
    } else {
        for (const auto &it : m_configuration->hosts) {
            const bool wanted = m_settings.role == HostRole::Target || m_own.host < it.name;
            if (it.role == HostRole::Entry && it.name != m_own.host && wanted) {
                addresses.push_back(it.peerAddress);
            }
        }
    }
    m_transport->setPeerAddresses(addresses);
}

void Node::updateTrafficMetrics()
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (const auto &it : m_transport->traffic()) {
        sent += it.sent;
        received += it.received;
    }
    m_metrics.addPeerBytes(sent - m_countedSent, received - m_countedReceived);
    m_countedSent = sent;
    m_countedReceived = received;
}

} // namespace monsoonward
