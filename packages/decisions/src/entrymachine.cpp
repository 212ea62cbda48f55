#include "monsoonward/decisions/entrymachine.h"

#include "requestgates.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

class EntryMachine::Impl : public EntryPolicyOutput, public MembershipListener, public EntryRequestsListener
{
public:
    Impl(const EntryOptions &options,
         const Clock &clock,
         Random &random,
         TableService &table,
         EntryOutput &output,
         EventLog &events)
        : m_options(options)
        , m_output(output)
        , m_policy(makeEntryPolicy(options.own, options.region, clock, random, *this, events))
        , m_membership(options.heartbeatTimeout, clock, *this, events)
        , m_requests(options, clock, *m_policy, m_membership, output, *this, events)
        , m_preconditions(options, clock, table, m_membership, m_requests, output, events)
    {
    }

    void configure(const ConfigurationPtr &configuration)
    {
        m_configuration = configuration;
        m_policy->configure(configuration);
        m_membership.configure(configuration);
    }

    RequestId nextId()
    {
        return {m_options.own.incarnation, ++m_sequence};
    }

    void submit(const RequestSpec &spec)
    {
        if (m_stopping) {
            m_output.refuse(spec.id, {RefusalReason::Stopping, Verdict::NotRun, Duration {}, "the entry is stopping"});
            return;
        }
        auto refusal = m_preconditions.refusal(spec);
        if (!refusal) {
            refusal = m_policy->admit(spec);
        }
        if (refusal) {
            m_output.refuse(spec.id, *refusal);
            return;
        }
        m_requests.add(spec);
        m_preconditions.begin(spec);
    }

    void cancel(const RequestId &id)
    {
        m_requests.onCallerGone(id);
    }

    void onPeerUp(const Peer &peer, HostRole role)
    {
        m_membership.onPeerUp(peer, role);
        if (role == HostRole::Entry) {
            m_policy->onEntryUp(peer);
            m_preconditions.onEntryUp(peer);
        }
    }

    void onPeerDown(const Peer &peer)
    {
        if (m_membership.onPeerDown(peer)) {
            m_policy->onEntryDown(peer);
            m_requests.onHolderLost(peer);
        }
    }

    void onMessage(const Peer &from, const Message &message)
    {
        m_membership.onMessage(from);
        if (const auto *claim = std::get_if<Claim>(&message)) {
            m_requests.onClaim(from, *claim);
        } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
            onAnswerEnd(from, *end);
        } else if (const auto *status = std::get_if<TargetStatus>(&message)) {
            m_membership.onTargetStatus(from, *status);
        } else if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
            m_membership.onHeartbeat(from, *heartbeat);
        } else if (const auto *refused = std::get_if<Refused>(&message)) {
            onRefused(from, *refused);
        } else if (const auto *reply = std::get_if<CancelReply>(&message)) {
            onCancelReply(from, *reply);
        } else if (const auto *dropped = std::get_if<ReservationDropped>(&message)) {
            m_requests.dropReservation(dropped->id, dropped->target);
        } else if (const auto *notice = std::get_if<SuspectNotice>(&message)) {
            m_preconditions.onNotice(*notice);
        } else if (const auto *query = std::get_if<ClaimQuery>(&message)) {
            m_preconditions.onQuery(from, *query);
        } else if (const auto *queryReply = std::get_if<ClaimQueryReply>(&message)) {
            m_preconditions.onReply(*queryReply);
        } else {
            m_policy->onMessage(from, message);
        }
    }

    void onStreamLost(const RequestId &id, const ClaimId &claim)
    {
        m_requests.onLinkLost(id, claim);
    }

    void updateHostList(const std::vector<ListedHost> &hosts)
    {
        m_membership.updateHostList(hosts);
    }

    void beginShutdown()
    {
        m_stopping = true;
    }

    bool isTierOpen(const ServiceName &service, Tier tier) const
    {
        return !m_stopping && m_policy->isTierOpen(service, tier);
    }

    bool idle() const
    {
        return m_requests.empty() && m_preconditions.idle();
    }

    void tick()
    {
        m_membership.tick();
        for (const auto &it : m_policy->tick()) {
            m_requests.evict(it.id, it.refusal);
        }
        m_requests.tick();
        m_preconditions.tick();
    }

    std::string dump() const
    {
        nlohmann::json root;
        root["host"] = m_options.own.host.text();
        root["incarnation"] = textOf(m_options.own.incarnation);
        root["revision"] = m_configuration ? m_configuration->revision : 0;
        root["stopping"] = m_stopping;
        root["requests"] = m_requests.size();
        for (const auto it : {EntryState::Keying,
                              EntryState::Waiting,
                              EntryState::HandedOver,
                              EntryState::Settling,
                              EntryState::Cancelling}) {
            root["states"][textOf(it)] = m_requests.count(it);
        }
        root["peers"] = m_membership.connectedCount();
        root["usableTargets"] = m_membership.usableTargets();
        root["observerInDoubt"] = m_membership.inDoubt();
        root["rowsBeingTaken"] = m_preconditions.pendingRowCount();
        root["suspects"] = m_preconditions.suspectCount();
        return root.dump();
    }

    // Implements EntryPolicyOutput.
    void sendToEntry(const Peer &to, const Message &message) override
    {
        m_output.send(to, message);
    }

    // Implements MembershipListener.
    void onTargetUsable(const TargetStatus &status) override
    {
        m_policy->onTargetStatus(status);
    }

    void onTargetUnusable(const TargetName &target) override
    {
        m_policy->onTargetGone(target);
        m_requests.dropTarget(target);
    }

    void onPeerConnected(const Peer &peer) override
    {
        m_requests.onHolderBack(peer);
    }

    void onPeerReplaced(const Peer &old) override
    {
        m_policy->onEntryDown(old);
        m_requests.onHolderGone(old);
    }

    // Implements EntryRequestsListener.
    void onCrashObserved(const RequestSpec &spec, const ClaimId & /*claim*/) override
    {
        m_preconditions.onCrashObserved(spec);
    }

    void onEnded(const RequestSpec &spec, Verdict verdict) override
    {
        m_preconditions.onEnded(spec, verdict);
    }

private:
    void onAnswerEnd(const Peer &from, const AnswerEnd &end)
    {
        if (from.incarnation == end.claim.target) {
            m_requests.onAnswerEnd(end);
        }
    }

    void onRefused(const Peer &from, const Refused &refused)
    {
        if (from.incarnation != refused.claim.target) {
            return;
        }
        m_output.send(from, RefusedAck {refused.claim});
        m_requests.onNeverDispatched(refused.id, refused.claim);
        m_requests.onReservationConsumed(from, refused.id);
    }

    void onCancelReply(const Peer &from, const CancelReply &reply)
    {
        if (from.incarnation != reply.claim.target) {
            return;
        }
        if (reply.verdict == Verdict::NotRun) {
            m_requests.onNeverDispatched(reply.id, reply.claim);
        } else {
            m_requests.onRunConfirmed(reply.id, reply.claim);
        }
    }

    EntryOptions m_options;
    EntryOutput &m_output;
    std::unique_ptr<EntryPolicy> m_policy;
    Membership m_membership;
    EntryRequests m_requests;
    RequestPreconditions m_preconditions;
    ConfigurationPtr m_configuration;
    std::uint64_t m_sequence = 0;
    bool m_stopping = false;
};

EntryMachine::EntryMachine(const EntryOptions &options,
                           const Clock &clock,
                           Random &random,
                           TableService &table,
                           EntryOutput &output,
                           EventLog &events)
    : m_impl(std::make_unique<Impl>(options, clock, random, table, output, events))
{
}

EntryMachine::~EntryMachine() = default;

void EntryMachine::configure(const ConfigurationPtr &configuration)
{
    m_impl->configure(configuration);
}

RequestId EntryMachine::nextId()
{
    return m_impl->nextId();
}

void EntryMachine::submit(const RequestSpec &spec)
{
    m_impl->submit(spec);
}

void EntryMachine::cancel(const RequestId &id)
{
    m_impl->cancel(id);
}

void EntryMachine::onPeerUp(const Peer &peer, HostRole role)
{
    m_impl->onPeerUp(peer, role);
}

void EntryMachine::onPeerDown(const Peer &peer)
{
    m_impl->onPeerDown(peer);
}

void EntryMachine::onMessage(const Peer &from, const Message &message)
{
    m_impl->onMessage(from, message);
}

void EntryMachine::onStreamLost(const Peer & /*from*/, const RequestId &id, const ClaimId &claim)
{
    m_impl->onStreamLost(id, claim);
}

void EntryMachine::updateHostList(const std::vector<ListedHost> &hosts)
{
    m_impl->updateHostList(hosts);
}

void EntryMachine::beginShutdown()
{
    m_impl->beginShutdown();
}

bool EntryMachine::isTierOpen(const ServiceName &service, Tier tier) const
{
    return m_impl->isTierOpen(service, tier);
}

bool EntryMachine::idle() const
{
    return m_impl->idle();
}

void EntryMachine::tick()
{
    m_impl->tick();
}

std::string EntryMachine::dump() const
{
    return m_impl->dump();
}

} // namespace monsoonward
