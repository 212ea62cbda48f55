#include "monsoonward/control/controlnode.h"

#include "operatorapi.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

class ControlNode::Impl
{
public:
    Impl(const ControlOptions &options,
         const Clock &clock,
         Random &random,
         TableService &table,
         ObjectStore &objects,
         ControlOutput &output,
         EventLog &events)
        : m_options(options)
        , m_store(table, objects, events)
        , m_membership(m_options, clock)
        , m_distribution(m_options, clock, random, m_store, m_membership, output, events)
        , m_committer(m_store, m_distribution)
        , m_confirmation(
              m_options, clock, wallClock(), random, m_store, m_distribution, m_membership, m_committer, events)
        , m_executor(m_options, clock, m_store, m_distribution, m_membership, m_committer, events)
        , m_operatorApi(
              m_options, wallClock(), random, m_store, m_distribution, m_membership, m_confirmation, m_executor, events)
    {
    }

    void message(const Peer &from, const Message &message)
    {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
            m_distribution.onPeerRevision(from, heartbeat->revision);
        } else if (const auto *offer = std::get_if<ConfigurationOffer>(&message)) {
            m_distribution.onOffer(from, *offer);
        } else if (const auto *request = std::get_if<ConfigurationRequest>(&message)) {
            m_distribution.onRequest(from, *request);
        } else if (const auto *status = std::get_if<TargetStatus>(&message)) {
            m_membership.setStatus(*status);
        }
    }

    void tick()
    {
        m_distribution.tick();
        m_confirmation.tick();
        m_executor.tick();
    }

    std::string dump() const
    {
        auto json = nlohmann::json::parse(m_operatorApi.statusText());
        const auto &usage = m_store.usage();
        json["store"] = {{"reads", usage.reads},
                         {"writes", usage.writes},
                         {"objectReads", usage.objectReads},
                         {"objectWrites", usage.objectWrites},
                         {"bytesRead", usage.bytesRead},
                         {"bytesWritten", usage.bytesWritten}};
        return json.dump();
    }

    Membership &membership()
    {
        return m_membership;
    }
    const Distribution &distribution() const
    {
        return m_distribution;
    }
    OperatorApi &operatorApi()
    {
        return m_operatorApi;
    }

private:
    const WallClock &wallClock() const
    {
        return m_options.wallClock == nullptr ? m_systemClock : *m_options.wallClock;
    }

    ControlOptions m_options;
    SystemWallClock m_systemClock;
    GuardedStore m_store;
    Membership m_membership;
    Distribution m_distribution;
    Committer m_committer;
    Confirmation m_confirmation;
    PlanExecutor m_executor;
    OperatorApi m_operatorApi;
};

ControlNode::ControlNode(const ControlOptions &options,
                         const Clock &clock,
                         Random &random,
                         TableService &table,
                         ObjectStore &objects,
                         ControlOutput &output,
                         EventLog &events)
    : m_impl(std::make_unique<Impl>(options, clock, random, table, objects, output, events))
{
}

ControlNode::~ControlNode() = default;

void ControlNode::peerUp(const Peer &peer, HostRole role)
{
    m_impl->membership().peerUp(peer, role);
}

void ControlNode::peerDown(const Peer &peer)
{
    m_impl->membership().peerDown(peer);
}

void ControlNode::message(const Peer &from, const Message &message)
{
    m_impl->message(from, message);
}

void ControlNode::handle(const OperatorRequest &request, ReplyCallback done)
{
    const auto reply = std::move(done);
    m_impl->operatorApi().handle(request, reply);
}

void ControlNode::tick()
{
    m_impl->tick();
}

ConfigurationPtr ControlNode::configuration() const
{
    return m_impl->distribution().current();
}

std::string ControlNode::dump() const
{
    return m_impl->dump();
}

} // namespace monsoonward
