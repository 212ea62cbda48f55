#pragma once

#include "operators.h"

#include "monsoonward/control/control.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>

/// Test harness: several control nodes on a virtual clock, with a fake store and a network that can be partitioned.
namespace monsoonward
{

class FakeObjects : public ObjectStore
{
public:
    void get(const std::string &name, GetCallback done) override
    {
        const auto it = m_objects.find(name);
        if (down) {
            done(Error {ErrorCode::Unavailable, "the object store is down"});
        } else if (it == m_objects.end()) {
            done(Error {ErrorCode::NotFound, name});
        } else {
            done(it->second);
        }
    }
    void put(const std::string &name, const std::string &bytes, PutCallback done) override
    {
        if (down) {
            done(Error {ErrorCode::Unavailable, "the object store is down"});
            return;
        }
        m_objects.emplace(name, bytes);
        done(boost::outcome_v2::success());
    }
    bool down = false;

private:
    std::map<std::string, std::string> m_objects;
};

class FakeWallClock : public WallClock
{
public:
    explicit FakeWallClock(const Clock &clock)
        : m_clock(clock)
    {
    }
    std::int64_t milliseconds() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch()).count();
    }

private:
    const Clock &m_clock;
};

class ControlFleet;

/// @brief One simulated daemon with its control node.
class FleetNode : public ControlOutput
{
public:
    FleetNode(
        ControlFleet &fleet, const std::string &host, const std::string &region, HostRole role, std::uint64_t run);

    void send(const Peer &to, const Message &message) override;
    void adopt(const ConfigurationPtr &configuration) override
    {
        checkInvariant(configuration->revision > m_adopted,
                       "configuration-never-reverts",
                       std::to_string(configuration->revision) + " after " + std::to_string(m_adopted));
        m_adopted = configuration->revision;
    }
    Revision revision() const
    {
        return control->configuration() ? control->configuration()->revision : 0;
    }

    ControlOptions options;
    bool paused = false; ///< does not tick and loses messages sent to it
    std::unique_ptr<ControlNode> control;
    std::uint64_t heartbeats = 0;

private:
    ControlFleet &m_fleet;
    Revision m_adopted = 0;
};

/// @brief Response to an operator request; the status is 0 until it arrives.
struct FleetReply
{
    unsigned status = 0;
    nlohmann::json body;
};

class ControlFleet
{
public:
    explicit ControlFleet(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Starts or restarts a daemon and connects it to its peers.
    FleetNode &start(const std::string &host, const std::string &region, HostRole role = HostRole::Entry)
    {
        stop(host);
        nodes[host] = std::make_unique<FleetNode>(*this, host, region, role, ++m_runs);
        connect();
        return *nodes[host];
    }
    void stop(const std::string &host)
    {
        const auto it = nodes.find(host);
        if (it == nodes.end()) {
            return;
        }
        const auto peer = it->second->options.own;
        nodes.erase(it);
        for (auto &other : nodes) {
            if (m_links.erase({other.first, host}) + m_links.erase({host, other.first}) > 0) {
                other.second->control->peerDown(peer);
            }
        }
    }
    void isolateRegion(const std::string &region)
    {
        m_isolatedRegions.insert(region);
        connect();
    }
    void reconnectRegion(const std::string &region)
    {
        m_isolatedRegions.erase(region);
        connect();
    }
    /// Advances the clock by @p time in steps of 100 ms.
    void run(Duration time)
    {
        for (Duration it {}; it < time; it += tickLength) {
            step();
        }
    }
    void step()
    {
        clock.advance(tickLength);
        ++m_ticks;
        for (auto &[host, node] : nodes) {
            if (!node->paused) {
                node->control->tick();
            }
        }
        deliver();
        if (m_ticks % ticksPerHeartbeat == 0) {
            sendHeartbeats();
        }
        deliver();
    }
    void deliver()
    {
        bool any = true;
        while (any) {
            any = !storeHangs && table.deliverOne();
            if (!m_messages.empty()) {
                auto [from, to, message] = m_messages.front();
                m_messages.pop_front();
                const auto it = nodes.find(to);
                if (it != nodes.end() && !it->second->paused && m_links.count({from.host.text(), to}) != 0) {
                    it->second->control->message(from, message);
                }
                any = true;
            }
        }
    }
    void enqueue(const Peer &from, const std::string &to, const Message &message)
    {
        m_messages.emplace_back(from, to, message);
        ++sent;
    }
    /// Sends a request without waiting for the response, which arrives during step() or run().
    std::shared_ptr<FleetReply> call(const std::string &host,
                                     const std::string &method,
                                     const std::string &path,
                                     const nlohmann::json &body = {},
                                     const std::string &token = "boot")
    {
        auto reply = std::make_shared<FleetReply>();
        const OperatorRequest request {token, method, path, body.is_null() ? "" : body.dump()};
        nodes.at(host)->control->handle(request, [reply](const OperatorReply &it) {
            checkInvariant(reply->status == 0, "operator-answered-once", it.body);
            *reply = {it.status, nlohmann::json::parse(it.body)};
        });
        return reply;
    }
    FleetReply callAndWait(const std::string &host,
                           const std::string &method,
                           const std::string &path,
                           const nlohmann::json &body = {},
                           const std::string &token = "boot")
    {
        const auto reply = call(host, method, path, body, token);
        for (int n = 0; n < 200 && reply->status == 0; ++n) {
            deliver();
            if (reply->status == 0) {
                step();
            }
        }
        return *reply;
    }
    FleetReply
    plan(const std::string &host, const std::string &kind, const std::string &subject, const std::string &value = "")
    {
        return callAndWait(host, "POST", "/operator/plan", {{"intent", kind}, {"subject", subject}, {"value", value}});
    }
    FleetReply confirm(const std::string &host, const std::string &id, const std::vector<std::string> &overrides = {})
    {
        return callAndWait(host, "POST", "/operator/confirm/" + id, {{"override", overrides}});
    }
    FleetReply declare(const std::string &host, const std::string &text)
    {
        auto reply = callAndWait(
            host, "POST", "/operator/plan", {{"intent", "declare"}, {"files", {{{"name", "f.ini"}, {"text", text}}}}});
        if (reply.status != 200 || !reply.body.contains("id")) {
            return reply;
        }
        return confirm(host, reply.body["id"]);
    }

    VirtualClock clock;
    FakeWallClock wallClock {clock};
    SeededRandom random;
    FakeTable table;
    FakeObjects objects;
    NullEventLog events;
    std::map<std::string, std::unique_ptr<FleetNode>> nodes;
    bool storeHangs = false; ///< the table service delivers no responses
    std::uint64_t sent = 0;
    std::map<TargetName, std::uint32_t> running; ///< requests in progress at each target

private:
    static constexpr Duration tickLength = std::chrono::milliseconds(100);
    static constexpr unsigned ticksPerHeartbeat = 5;

    struct QueuedMessage
    {
        Peer from;
        std::string to;
        Message message;
        QueuedMessage(const Peer &peer, const std::string &host, const Message &it)
            : from(peer)
            , to(host)
            , message(it)
        {
        }
    };

    bool canConnect(const FleetNode &a, const FleetNode &b) const
    {
        const auto &first = a.options.region.text();
        const auto &second = b.options.region.text();
        const bool isEntryLink = a.options.role == HostRole::Entry || b.options.role == HostRole::Entry;
        return isEntryLink
            && (first == second || (m_isolatedRegions.count(first) == 0 && m_isolatedRegions.count(second) == 0));
    }
    void connect()
    {
        for (auto &[host, node] : nodes) {
            for (auto &[otherHost, other] : nodes) {
                if (host == otherHost) {
                    continue;
                }
                const std::pair<std::string, std::string> link {otherHost, host};
                const bool linked = m_links.count(link) != 0;
                if (canConnect(*node, *other) && !linked) {
                    m_links.insert(link);
                    node->control->peerUp(other->options.own, other->options.role);
                } else if (!canConnect(*node, *other) && linked) {
                    m_links.erase(link);
                    node->control->peerDown(other->options.own);
                }
            }
        }
    }
    void sendHeartbeats()
    {
        for (auto &[host, node] : nodes) {
            if (node->paused) {
                continue;
            }
            const Heartbeat heartbeat {
                node->options.own, node->options.role, ++node->heartbeats, node->revision(), false};
            for (auto &[otherHost, other] : nodes) {
                if (host != otherHost && m_links.count({host, otherHost}) != 0) {
                    enqueue(node->options.own, otherHost, heartbeat);
                    enqueueTargetStatus(*node, otherHost);
                }
            }
        }
    }
    void enqueueTargetStatus(const FleetNode &node, const std::string &to)
    {
        const auto configuration = node.control->configuration();
        if (!configuration) {
            return;
        }
        for (const auto &it : configuration->targets) {
            if (it.host != node.options.own.host) {
                continue;
            }
            TargetStatus status;
            status.target = it.name;
            status.service = it.service;
            const auto *host = find(configuration->hosts, it.host);
            status.accepting = it.state == ServingState::InService && host->state == ServingState::InService;
            status.running = running[it.name];
            enqueue(node.options.own, to, status);
        }
    }

    std::deque<QueuedMessage> m_messages;
    std::set<std::pair<std::string, std::string>> m_links; ///< (sender, receiver)
    std::set<std::string> m_isolatedRegions;
    std::uint64_t m_runs = 0;
    std::uint64_t m_ticks = 0;
};

inline FleetNode::FleetNode(
    ControlFleet &fleet, const std::string &host, const std::string &region, HostRole role, std::uint64_t run)
    : m_fleet(fleet)
{
    options.own = {HostName(host), {1, run}};
    options.role = role;
    options.region = RegionName(region);
    options.bootstrapTokenHash = sha256("boot");
    options.wallClock = &fleet.wallClock;
    control = std::make_unique<ControlNode>(
        options, fleet.clock, fleet.random, fleet.table, fleet.objects, *this, fleet.events);
}

inline void FleetNode::send(const Peer &to, const Message &message)
{
    m_fleet.enqueue(options.own, to.host.text(), message);
}

/// @return declarations of two entry hosts in region "south", one in region "north", and @p targets targets of one
/// service in "south"
inline std::string fleetText(unsigned targets)
{
    std::string text =
        "[region south]\n[region north]\n[data-centre s]\nregion = south\n[data-centre n]\nregion = north\n"
        "[tier 0]\nname = press\n[tier 1]\nname = office\n"
        "[service model]\nmodel = motif\nversion = 1\n[service other]\nkind = plain\n";
    const auto host = [&text](
                          const std::string &name, const std::string &dataCentre, const std::string &role, int port) {
        text.append("[host ").append(name).append("]\ndata-centre = ").append(dataCentre);
        text.append("\nrole = ").append(role).append("\npeer = 127.0.0.1:").append(std::to_string(port)).append("\n");
    };
    host("e1", "s", "entry", 1);
    host("e2", "s", "entry", 2);
    host("e3", "n", "entry", 3);
    for (unsigned n = 1; n <= targets; ++n) {
        const auto name = std::to_string(n);
        host("h" + name, "s", "target", 10 + static_cast<int>(n));
        text.append("[target t").append(name).append("]\nhost = h").append(name).append("\nservice = model\n");
        text.append("[engine g").append(name).append("]\ntarget = t").append(name);
        text.append("\naddress = 127.0.0.1:1\nmax-batch = 4\n");
    }
    text += "[customer rouleaux]\ntiers = 0, 1\nkey-hashes = " + sha256("key") + "\n";
    return text;
}

} // namespace monsoonward
