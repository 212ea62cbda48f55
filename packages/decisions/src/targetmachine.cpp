#include "monsoonward/decisions/targetmachine.h"

#include "targettable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace monsoonward
{

namespace
{

constexpr Duration refusalLifetime = std::chrono::minutes(1);

struct ClaimRecord
{
    Claim claim;
    Peer entry;
    TargetState state = TargetState::Open;
    TimePoint openedAt {};
    std::string detail; // why the claim was given up; sent with Refused
};

} // namespace

class TargetMachine::Impl
{
public:
    Impl(const TargetOptions &options, const Clock &clock, TargetOutput &output, EventLog &events)
        : m_options(options)
        , m_clock(clock)
        , m_output(output)
        , m_events(events)
    {
    }

    void configure(const ConfigurationPtr &configuration)
    {
        m_configuration = configuration;
        m_drainingTargets.clear();
        m_targetOfEngine.clear();
        for (const auto &it : configuration->targets) {
            if (it.host == m_options.own.host) {
                configureTarget(it);
            }
        }
    }

    void onPeerUp(const Peer &peer)
    {
        const auto last = m_lastIncarnations.find(peer.host);
        if (last != m_lastIncarnations.end() && last->second != peer.incarnation) {
            const Peer old {peer.host, last->second};
            m_peers.erase(old);
            entryReplaced(old);
        }
        m_lastIncarnations[peer.host] = peer.incarnation;
        m_peers.insert(peer);
        m_events.record(Event::PeerUp, Severity::Info, peer.host.text() + " " + textOf(peer.incarnation));
        sendStatus(peer);
        for (const auto &it : claimsOf(peer)) {
            if (m_claims.at(it).state == TargetState::Refused) {
                sendRefused(m_claims.at(it));
            }
        }
    }

    void onPeerDown(const Peer &peer)
    {
        if (m_peers.erase(peer) == 0) {
            return;
        }
        m_events.record(Event::PeerDown, Severity::Warning, peer.host.text() + " " + textOf(peer.incarnation));
        for (auto &[name, policy] : m_policies) {
            policy->onEntryGone(peer);
        }
        for (const auto &it : claimsOf(peer)) {
            apply(it, TargetEvent::StreamLost, "the connection was lost before the hand-over");
        }
        openClaims();
    }

    void onMessage(const Peer &from, const Message &message)
    {
        if (const auto *reserve = std::get_if<Reserve>(&message)) {
            onReserve(from, *reserve);
        } else if (const auto *withdraw = std::get_if<Withdraw>(&message)) {
            onWithdraw(*withdraw);
        } else if (const auto *handOver = std::get_if<HandOver>(&message)) {
            onHandOver(from, *handOver);
        } else if (const auto *rejected = std::get_if<ClaimRejected>(&message)) {
            applyFrom(from, rejected->claim, TargetEvent::ClaimRejected);
        } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
            onCancel(from, *cancel);
        } else if (const auto *ack = std::get_if<RefusedAck>(&message)) {
            applyFrom(from, ack->claim, TargetEvent::RefusedAcked);
        }
        openClaims();
    }

    void onStreamLost(const ClaimId &claim)
    {
        apply(claim, TargetEvent::StreamLost, "the stream was lost before the hand-over");
        openClaims();
    }

    void onFirstToken(const ClaimId &claim)
    {
        if (auto *record = findRunning(claim)) {
            policyOf(*record).onFirstToken(record->claim.id);
        }
    }

    void onTokens(const ClaimId &claim, std::uint32_t count)
    {
        if (auto *record = findRunning(claim)) {
            policyOf(*record).onTokens(record->claim.id, count);
        }
    }

    void onFinished(const ClaimId &claim, const RunStats &stats)
    {
        auto *record = findRunning(claim);
        if (record == nullptr) {
            return;
        }
        policyOf(*record).onFinished(record->claim.id, stats);
        apply(claim, TargetEvent::EngineFinished, {});
        openClaims();
    }

    TargetPolicy *policyOfEngine(const EngineName &engine)
    {
        const auto it = m_targetOfEngine.find(engine);
        return it == m_targetOfEngine.end() ? nullptr : m_policies.at(it->second).get();
    }

    void openClaims()
    {
        for (auto &[name, policy] : m_policies) {
            while (accepting(name)) {
                const auto choice = policy->nextClaim();
                if (!choice) {
                    break;
                }
                openClaim(name, *choice);
            }
        }
    }

    void beginShutdown()
    {
        m_stopping = true;
        sendStatuses();
    }

    bool idle() const
    {
        const auto blocksShutdown = [&](const auto &it) {
            return it.second.state != TargetState::Refused || m_peers.count(it.second.entry) != 0;
        };
        return std::none_of(m_claims.begin(), m_claims.end(), blocksShutdown);
    }

    void tick()
    {
        giveUpTimedOutClaims();
        forgetExpiredRefusals();
        for (auto &[name, policy] : m_policies) {
            dropReservations(*policy);
        }
        if (m_clock.now() - m_lastStatusAt >= m_options.heartbeatInterval) {
            sendStatuses();
        }
        openClaims();
    }

    std::string dump() const
    {
        nlohmann::json root;
        root["host"] = m_options.own.host.text();
        root["incarnation"] = textOf(m_options.own.incarnation);
        root["revision"] = m_configuration ? m_configuration->revision : 0;
        root["stopping"] = m_stopping;
        for (const auto it : {TargetState::Open, TargetState::Running, TargetState::Refused}) {
            root["claims"][textOf(it)] = std::count_if(
                m_claims.begin(), m_claims.end(), [&](const auto &claim) { return claim.second.state == it; });
        }
        root["peers"] = m_peers.size();
        return root.dump();
    }

private:
    void configureTarget(const TargetSpec &spec)
    {
        auto &policy = m_policies[spec.name];
        if (!policy) {
            policy = makeTargetPolicy(spec.name, spec.service, m_clock, m_events);
        }
        std::vector<EngineSpec> engines;
        for (const auto &it : m_configuration->engines) {
            if (it.target == spec.name) {
                engines.push_back(it);
                m_targetOfEngine[it.name] = spec.name;
            }
        }
        policy->configure(engines);
        const auto *host = find(m_configuration->hosts, spec.host);
        const bool hostDraining = host == nullptr || host->state == ServingState::Draining;
        if (hostDraining || spec.state == ServingState::Draining) {
            m_drainingTargets.insert(spec.name);
        }
    }

    bool accepting(const TargetName &target) const
    {
        return !m_stopping && m_drainingTargets.count(target) == 0;
    }

    void onReserve(const Peer &from, const Reserve &reserve)
    {
        const auto policy = m_policies.find(reserve.target);
        if (policy == m_policies.end() || !accepting(reserve.target)) {
            m_output.send(from, ReservationDropped {reserve.id, reserve.target, RefusalReason::Stopping});
            return;
        }
        policy->second->reserve({from, reserve, m_clock.now() + reserve.timeLeft});
    }

    void onWithdraw(const Withdraw &withdraw)
    {
        const auto policy = m_policies.find(withdraw.target);
        if (policy != m_policies.end()) {
            policy->second->withdraw(withdraw.id);
        }
    }

    void openClaim(const TargetName &target, const ClaimChoice &choice)
    {
        const ClaimId id {m_options.own.incarnation, ++m_claimNumber};
        const Claim claim {choice.reservation.reserve.id, id, target, choice.engine};
        m_claims[id] = {claim, choice.reservation.entry, TargetState::Open, m_clock.now(), {}};
        m_output.sendClaim(choice.reservation.entry, claim);
    }

    void onHandOver(const Peer &from, const HandOver &handOver)
    {
        // After a pause of this process, the message may be handled before the timer of an expired claim.
        giveUpTimedOutClaims();
        const auto it = m_claims.find(handOver.claim);
        if (it == m_claims.end() || it->second.claim.id != handOver.id || it->second.entry != from) {
            return;
        }
        if (targetRule(it->second.state, TargetEvent::HandOverArrives).action != TargetAction::Dispatch) {
            return;
        }
        it->second.state = TargetState::Running;
        checkInvariant(m_dispatchedRequests.insert(handOver.id).second, "dispatch-once", textOf(handOver.id));
        policyOf(it->second).onDispatched(handOver.id);
        m_output.dispatch(it->second.claim, handOver);
    }

    void onCancel(const Peer &from, const Cancel &cancel)
    {
        if (cancel.claim.target != m_options.own.incarnation) {
            return; // a claim of an earlier incarnation: the entry learns of the restart when the peers connect
        }
        const auto it = m_claims.find(cancel.claim);
        if (it != m_claims.end() && it->second.entry != from) {
            return;
        }
        if (it == m_claims.end()) {
            m_output.send(from, CancelReply {cancel.id, cancel.claim, Verdict::MayHaveRun});
            return;
        }
        apply(cancel.claim, TargetEvent::CancelArrives, "cancelled before the hand-over");
    }

    void applyFrom(const Peer &from, const ClaimId &claim, TargetEvent event)
    {
        const auto it = m_claims.find(claim);
        if (it != m_claims.end() && it->second.entry == from) {
            apply(claim, event, {});
        }
    }

    /// Applies the event to the claim's state and performs the action of its rule in targetTable().
    /// @param why the reason that Refused gives
    void apply(const ClaimId &id, TargetEvent event, const std::string &why)
    {
        const auto it = m_claims.find(id);
        if (it == m_claims.end()) {
            return;
        }
        auto &record = it->second;
        const auto rule = targetRule(record.state, event);
        record.state = rule.next;
        switch (rule.action) {
        case TargetAction::Release:
            policyOf(record).onClaimReleased(record.claim.id);
            break;
        case TargetAction::GiveUp:
            giveUp(record, why);
            break;
        case TargetAction::GiveUpAndConfirm:
            giveUp(record, why);
            reply(record, Verdict::NotRun);
            break;
        case TargetAction::ConfirmNotRun:
            reply(record, Verdict::NotRun);
            break;
        case TargetAction::ConfirmRun:
            reply(record, Verdict::MayHaveRun);
            m_output.cancelRun(id);
            break;
        case TargetAction::CancelRun:
            m_output.cancelRun(id);
            break;
        case TargetAction::Forget:
        case TargetAction::Dispatch: // done by onHandOver()
        case TargetAction::ReplyMayHaveRun: // done by onCancel()
        case TargetAction::Ignore:
            break;
        }
        if (rule.next == TargetState::Forgotten) {
            forget(id);
        }
    }

    void forget(const ClaimId &id)
    {
        const auto it = m_claims.find(id);
        m_dispatchedRequests.erase(it->second.claim.id);
        m_claims.erase(it);
    }

    void reply(const ClaimRecord &record, Verdict verdict)
    {
        m_output.send(record.entry, CancelReply {record.claim.id, record.claim.claim, verdict});
    }

    void giveUp(ClaimRecord &record, const std::string &why)
    {
        record.detail = why;
        policyOf(record).onClaimReleased(record.claim.id);
        m_events.record(Event::ClaimGivenUp, Severity::Info, textOf(record.claim.id) + ": " + why);
        m_output.closeStream(record.claim.claim);
        sendRefused(record);
    }

    void sendRefused(const ClaimRecord &record)
    {
        m_output.send(record.entry, Refused {record.claim.id, record.claim.claim, record.detail});
    }

    std::vector<ClaimId> claimsOf(const Peer &entry) const
    {
        std::vector<ClaimId> found;
        for (const auto &[id, record] : m_claims) {
            if (record.entry == entry) {
                found.push_back(id);
            }
        }
        return found;
    }

    void giveUpTimedOutClaims()
    {
        std::vector<ClaimId> old;
        for (const auto &[id, record] : m_claims) {
            if (record.state == TargetState::Open && m_clock.now() - record.openedAt >= m_options.claimTimeout) {
                old.push_back(id);
            }
        }
        for (const auto &it : old) {
            apply(it, TargetEvent::ClaimTimeout, "no hand-over within the claim timeout");
        }
    }

    /// Forgets this daemon's unacknowledged refusals to disconnected entries some time after their claims were opened:
    /// the entries have answered their callers by then.
    void forgetExpiredRefusals()
    {
        std::vector<ClaimId> old;
        for (const auto &[id, record] : m_claims) {
            const bool away = m_peers.count(record.entry) == 0;
            if (record.state == TargetState::Refused && away && m_clock.now() - record.openedAt >= refusalLifetime) {
                old.push_back(id);
            }
        }
        for (const auto &it : old) {
            forget(it);
        }
    }

    /// Another incarnation runs on the entry's host, so nobody waits for the old one's claims any more.
    void entryReplaced(const Peer &old)
    {
        for (auto &[name, policy] : m_policies) {
            policy->onEntryGone(old);
        }
        for (const auto &it : claimsOf(old)) {
            apply(it, TargetEvent::EntryGone, {});
        }
    }

    void dropReservations(TargetPolicy &policy)
    {
        for (const auto &it : policy.tick()) {
            for (const auto &peer : m_peers) {
                if (peer.incarnation == it.id.entry) {
                    m_output.send(peer, it);
                }
            }
        }
    }

    void sendStatuses()
    {
        m_lastStatusAt = m_clock.now();
        for (const auto &it : m_peers) {
            sendStatus(it);
        }
        for (const auto &[claim, record] : m_claims) {
            if (record.state == TargetState::Refused) {
                sendRefused(record);
            }
        }
    }

    void sendStatus(const Peer &peer)
    {
        for (auto &[name, policy] : m_policies) {
            auto status = policy->status();
            status.accepting = accepting(name);
            m_output.send(peer, status);
        }
    }

    ClaimRecord *findRunning(const ClaimId &claim)
    {
        const auto it = m_claims.find(claim);
        return it != m_claims.end() && it->second.state == TargetState::Running ? &it->second : nullptr;
    }

    TargetPolicy &policyOf(const ClaimRecord &record)
    {
        return *m_policies.at(record.claim.target);
    }

    TargetOptions m_options;
    const Clock &m_clock;
    TargetOutput &m_output;
    EventLog &m_events;
    ConfigurationPtr m_configuration;
    std::map<TargetName, std::unique_ptr<TargetPolicy>> m_policies;
    std::map<EngineName, TargetName> m_targetOfEngine;
    std::set<TargetName> m_drainingTargets;
    std::set<Peer> m_peers;
    std::uint64_t m_claimNumber = 0;
    std::unordered_map<ClaimId, ClaimRecord> m_claims;
    std::unordered_set<RequestId> m_dispatchedRequests;
    std::map<HostName, Incarnation> m_lastIncarnations; // of the entries, by host
    TimePoint m_lastStatusAt {};
    bool m_stopping = false;
};

TargetMachine::TargetMachine(const TargetOptions &options, const Clock &clock, TargetOutput &output, EventLog &events)
    : m_impl(std::make_unique<Impl>(options, clock, output, events))
{
}

TargetMachine::~TargetMachine() = default;

void TargetMachine::configure(const ConfigurationPtr &configuration)
{
    m_impl->configure(configuration);
}

void TargetMachine::onPeerUp(const Peer &peer)
{
    m_impl->onPeerUp(peer);
}

void TargetMachine::onPeerDown(const Peer &peer)
{
    m_impl->onPeerDown(peer);
}

void TargetMachine::onMessage(const Peer &from, const Message &message)
{
    m_impl->onMessage(from, message);
}

void TargetMachine::onStreamLost(const ClaimId &claim)
{
    m_impl->onStreamLost(claim);
}

void TargetMachine::onFirstToken(const ClaimId &claim)
{
    m_impl->onFirstToken(claim);
}

void TargetMachine::onTokens(const ClaimId &claim, std::uint32_t count)
{
    m_impl->onTokens(claim, count);
}

void TargetMachine::onFinished(const ClaimId &claim, const RunStats &stats)
{
    m_impl->onFinished(claim, stats);
}

void TargetMachine::onEngineLoad(const EngineName &engine, std::uint32_t running, std::uint32_t waiting)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->onEngineLoad(engine, running, waiting);
    }
}

void TargetMachine::onInheritedRequests(const EngineName &engine, std::uint32_t running)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->onInheritedRequests(engine, running);
    }
}

void TargetMachine::setEngineUp(const EngineName &engine, bool up)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->setEngineUp(engine, up);
        m_impl->openClaims();
    }
}

void TargetMachine::onCacheEvent(const EngineName &engine,
                                 const std::vector<PrefixHash> &cached,
                                 const std::vector<PrefixHash> &evicted)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->onCacheEvent(engine, cached, evicted);
    }
}

void TargetMachine::beginShutdown()
{
    m_impl->beginShutdown();
}

bool TargetMachine::idle() const
{
    return m_impl->idle();
}

void TargetMachine::tick()
{
    m_impl->tick();
}

std::string TargetMachine::dump() const
{
    return m_impl->dump();
}

} // namespace monsoonward
