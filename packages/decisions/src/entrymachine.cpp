#include "monsoonward/decisions/entrymachine.h"

#include "entryrequests.h"
#include "idempotency.h"
#include "suspects.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

namespace
{

/// What a request needs before it may be handed over. Requests that need nothing have none.
struct Gate
{
    bool needsKey = false;
    bool needsTrial = false;
    bool isolated = false; // its turn for an isolated run has come
    std::string pendingRow;
    std::vector<std::string> rows; // certain
};

} // namespace

class EntryMachine::Impl : public EntryPolicyOutput,
                           public MembershipListener,
                           public EntryRequestsListener,
                           public IdempotencyListener,
                           public SuspectsOutput
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
        , m_events(events)
        , m_policy(makeEntryPolicy(options.own, options.region, clock, random, *this, events))
        , m_membership(options.heartbeatTimeout, clock, *this, events)
        , m_requests(options, clock, *m_policy, m_membership, output, *this, events)
        , m_claims(options.own, options.settleTimeout, clock, table, *this, events)
        , m_suspects(options.own.incarnation, clock, *this, events)
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
        const auto standing = m_suspects.standing(spec.fingerprint);
        if (standing == Standing::Refused) {
            m_output.refuse(spec.id, suspectRefusal(spec));
            return;
        }
        if (const auto refusal = m_policy->admit(spec)) {
            m_output.refuse(spec.id, *refusal);
            return;
        }
        m_requests.add(spec);
        const bool needsKey = !spec.idempotent && !spec.idempotencyKey.empty();
        if (needsKey || standing == Standing::Suspect) {
            auto &gate = m_gates[spec.id];
            gate.needsKey = needsKey;
            gate.needsTrial = standing == Standing::Suspect;
        }
        advance(spec.id);
    }

    void cancel(const RequestId &id)
    {
        m_requests.callerGone(id);
    }

    void peerUp(const Peer &peer, HostRole role)
    {
        m_membership.peerUp(peer, role);
        if (role == HostRole::Entry) {
            m_policy->entryUp(peer);
            m_suspects.entryUp(peer);
        }
    }

    void peerDown(const Peer &peer)
    {
        if (m_membership.peerDown(peer)) {
            m_policy->entryDown(peer);
            m_requests.holderLost(peer);
        }
    }

    void message(const Peer &from, const Message &message)
    {
        m_membership.heard(from);
        if (const auto *claim = std::get_if<Claim>(&message)) {
            m_requests.claim(from, *claim);
        } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
            onAnswerEnd(from, *end);
        } else if (const auto *status = std::get_if<TargetStatus>(&message)) {
            m_membership.targetStatus(from, *status);
        } else if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
            m_membership.heartbeat(from, *heartbeat);
        } else if (const auto *refused = std::get_if<Refused>(&message)) {
            onRefused(from, *refused);
        } else if (const auto *reply = std::get_if<CancelReply>(&message)) {
            onCancelReply(from, *reply);
        } else if (const auto *dropped = std::get_if<ReservationDropped>(&message)) {
            m_requests.dropReservation(dropped->id, dropped->target);
        } else if (const auto *notice = std::get_if<SuspectNotice>(&message)) {
            onSuspectNotice(*notice);
        } else if (const auto *query = std::get_if<ClaimQuery>(&message)) {
            m_output.send(from, m_claims.answer(*query));
        } else if (const auto *queryReply = std::get_if<ClaimQueryReply>(&message)) {
            m_claims.reply(*queryReply);
        } else {
            m_policy->message(from, message);
        }
    }

    void streamLost(const RequestId &id, const ClaimId &claim)
    {
        m_requests.linkLost(id, claim);
    }

    void hostList(const std::vector<ListedHost> &hosts)
    {
        m_membership.hostList(hosts);
    }

    void beginShutdown()
    {
        m_stopping = true;
    }

    bool isOpen(const ServiceName &service, Tier tier) const
    {
        return !m_stopping && m_policy->isOpen(service, tier);
    }

    bool idle() const
    {
        return m_requests.empty() && m_claims.idle();
    }

    void tick()
    {
        m_membership.tick();
        for (const auto &it : m_policy->tick()) {
            m_requests.evict(it.id, it.refusal);
        }
        m_requests.tick();
        m_claims.tick();
        for (const auto &it : m_suspects.tick()) {
            beginTrial(it);
        }
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
        root["rowsBeingTaken"] = m_claims.taking();
        root["suspects"] = m_suspects.size();
        return root.dump();
    }

    // EntryPolicyOutput
    void sendToEntry(const Peer &to, const Message &message) override
    {
        m_output.send(to, message);
    }

    // MembershipListener
    void targetUsable(const TargetStatus &status) override
    {
        m_policy->targetStatus(status);
    }

    void targetUnusable(const TargetName &target) override
    {
        m_policy->targetGone(target);
        m_requests.dropTarget(target);
    }

    void peerBack(const Peer &peer) override
    {
        m_requests.holderBack(peer);
    }

    void peerReplaced(const Peer &old) override
    {
        m_policy->entryDown(old);
        m_requests.holderGone(old);
    }

    // EntryRequestsListener
    void crashSeen(const RequestSpec &spec, const ClaimId & /*claim*/) override
    {
        m_suspects.crashSeen(spec);
        isolateWaiting(spec.fingerprint);
    }

    void ended(const RequestSpec &spec, Verdict verdict) override
    {
        const auto it = m_gates.find(spec.id);
        if (it == m_gates.end()) {
            return;
        }
        const auto gate = it->second;
        m_gates.erase(it);
        m_suspects.leave(spec.id);
        if (!gate.pendingRow.empty()) {
            m_claims.ended(spec.id, gate.pendingRow, verdict);
        }
        for (const auto &row : gate.rows) {
            m_claims.ended(spec.id, row, verdict);
        }
        if (gate.needsTrial && verdict == Verdict::Completed) {
            m_suspects.cleared(spec.fingerprint);
        }
    }

    // IdempotencyListener
    void rowCertain(const RequestId &id, const std::string &rowKey) override
    {
        auto &gate = m_gates.at(id);
        gate.pendingRow.clear();
        gate.rows.push_back(rowKey);
        gate.needsKey = gate.needsKey && rowKey == trialRowKey(m_requests.spec(id).fingerprint);
        advance(id);
    }

    void rowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal) override
    {
        auto &gate = m_gates.at(id);
        gate.pendingRow.clear();
        const auto &spec = m_requests.spec(id);
        if (rowKey != trialRowKey(spec.fingerprint)) {
            m_requests.keyRefused(id, refusal);
        } else if (refusal.verdict == Verdict::Completed) {
            m_requests.keyCertain(id); // an isolated run has completed before
        } else {
            m_requests.keyRefused(id, suspectRefusal(spec));
        }
    }

    bool askEntry(const ClaimQuery &query) override
    {
        for (const auto &it : m_membership.entries()) {
            if (it.incarnation == query.holder.entry) {
                m_output.send(it, query);
                return true;
            }
        }
        return false;
    }

    bool knows(const RequestId &id) const override
    {
        return m_requests.has(id);
    }

    // SuspectsOutput
    void tellEntries(const SuspectNotice &notice) override
    {
        for (const auto &it : m_membership.entries()) {
            m_output.send(it, notice);
        }
    }

    void tellEntry(const Peer &to, const SuspectNotice &notice) override
    {
        m_output.send(to, notice);
    }

private:
    /// Goes on with what the request still needs before it may be handed over.
    void advance(const RequestId &id)
    {
        const auto it = m_gates.find(id);
        if (it == m_gates.end()) {
            m_requests.keyCertain(id);
            return;
        }
        auto &gate = it->second;
        const auto &spec = m_requests.spec(id);
        if (gate.needsKey) {
            gate.pendingRow = claimRowKey(spec.customer, spec.idempotencyKey);
            m_claims.take(id, gate.pendingRow);
        } else if (gate.needsTrial && !gate.isolated) {
            m_suspects.enqueue(spec);
        } else {
            m_requests.keyCertain(id);
        }
    }

    void beginTrial(const RequestId &id)
    {
        const auto it = m_gates.find(id);
        if (it == m_gates.end()) {
            return;
        }
        it->second.isolated = true;
        const auto &spec = m_requests.spec(id);
        const auto standing = m_suspects.standing(spec.fingerprint);
        if (standing == Standing::Refused) {
            m_requests.keyRefused(id, suspectRefusal(spec));
        } else if (standing == Standing::Clear) {
            m_suspects.leave(id);
            m_requests.keyCertain(id);
        } else {
            it->second.pendingRow = trialRowKey(spec.fingerprint);
            m_claims.take(id, it->second.pendingRow);
        }
    }

    void onAnswerEnd(const Peer &from, const AnswerEnd &end)
    {
        if (from.incarnation == end.claim.target) {
            m_requests.answerEnd(end);
        }
    }

    void onRefused(const Peer &from, const Refused &refused)
    {
        if (from.incarnation != refused.claim.target) {
            return;
        }
        m_output.send(from, RefusedAck {refused.claim});
        m_requests.neverDispatched(refused.id, refused.claim);
        m_requests.reservationUsed(from, refused.id);
    }

    void onCancelReply(const Peer &from, const CancelReply &reply)
    {
        if (from.incarnation != reply.claim.target) {
            return;
        }
        if (reply.verdict == Verdict::NotRun) {
            m_requests.neverDispatched(reply.id, reply.claim);
        } else {
            m_requests.runConfirmed(reply.id, reply.claim);
        }
    }

    void onSuspectNotice(const SuspectNotice &notice)
    {
        m_suspects.notice(notice);
        if (notice.crashes != 0) {
            isolateWaiting(notice.fingerprint);
        }
    }

    /// Requests of the fingerprint that wait already must pass isolation too.
    void isolateWaiting(Fingerprint fingerprint)
    {
        for (const auto &it : m_requests.suspect(fingerprint)) {
            auto &gate = m_gates[it];
            gate.needsTrial = true;
            m_suspects.enqueue(m_requests.spec(it));
        }
    }

    Refusal suspectRefusal(const RequestSpec &spec)
    {
        m_events.record(Event::SuspectRefused,
                        Severity::Warning,
                        "customer \"" + spec.customer.text() + "\" service \"" + spec.service.text() + "\" fingerprint "
                            + std::to_string(spec.fingerprint));
        return {RefusalReason::SuspectedCrash,
                Verdict::NotRun,
                m_suspects.expiresIn(spec.fingerprint),
                "the request was in progress when targets of service \"" + spec.service.text() + "\" crashed"};
    }

    EntryOptions m_options;
    EntryOutput &m_output;
    EventLog &m_events;
    std::unique_ptr<EntryPolicy> m_policy;
    Membership m_membership;
    EntryRequests m_requests;
    IdempotencyClaims m_claims;
    Suspects m_suspects;
    ConfigurationPtr m_configuration;
    std::uint64_t m_sequence = 0;
    bool m_stopping = false;
    std::unordered_map<RequestId, Gate> m_gates;
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

void EntryMachine::peerUp(const Peer &peer, HostRole role)
{
    m_impl->peerUp(peer, role);
}

void EntryMachine::peerDown(const Peer &peer)
{
    m_impl->peerDown(peer);
}

void EntryMachine::message(const Peer &from, const Message &message)
{
    m_impl->message(from, message);
}

void EntryMachine::streamLost(const Peer & /*from*/, const RequestId &id, const ClaimId &claim)
{
    m_impl->streamLost(id, claim);
}

void EntryMachine::hostList(const std::vector<ListedHost> &hosts)
{
    m_impl->hostList(hosts);
}

void EntryMachine::beginShutdown()
{
    m_impl->beginShutdown();
}

bool EntryMachine::isOpen(const ServiceName &service, Tier tier) const
{
    return m_impl->isOpen(service, tier);
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
