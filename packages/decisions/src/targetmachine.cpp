#include "monsoonward/decisions/targetmachine.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <unordered_map>

namespace monsoonward
{

namespace
{

enum class ClaimState {
    Open, ///< sent, not answered
    Running, ///< handed over and dispatched
};

struct ClaimRecord
{
    Claim claim;
    Peer entry;
    ClaimState state = ClaimState::Open;
    TimePoint openedAt {};
    bool streamOpen = true;
};

struct RefusedRecord
{
    Peer entry;
    Refused refused;
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
        m_draining.clear();
        m_engineTarget.clear();
        for (const auto &it : configuration->targets) {
            if (it.host == m_options.own.host) {
                configureTarget(it);
            }
        }
    }

    void peerUp(const Peer &peer)
    {
        m_peers.insert(peer);
        m_events.record(Event::PeerUp, Severity::Info, peer.host.text() + " " + textOf(peer.incarnation));
        sendStatus(peer);
    }

    void peerDown(const Peer &peer)
    {
        if (m_peers.erase(peer) == 0) {
            return;
        }
        m_events.record(Event::PeerDown, Severity::Warning, peer.host.text() + " " + textOf(peer.incarnation));
        for (auto &[name, policy] : m_policies) {
            policy->entryGone(peer);
        }
    }

    void message(const Peer &from, const Message &message)
    {
        if (const auto *reserve = std::get_if<Reserve>(&message)) {
            onReserve(from, *reserve);
        } else if (const auto *withdraw = std::get_if<Withdraw>(&message)) {
            onWithdraw(*withdraw);
        } else if (const auto *handOver = std::get_if<HandOver>(&message)) {
            onHandOver(*handOver);
        } else if (const auto *rejected = std::get_if<ClaimRejected>(&message)) {
            release(rejected->claim);
        } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
            onCancel(from, *cancel);
        } else if (const auto *ack = std::get_if<RefusedAck>(&message)) {
            m_refused.erase(ack->claim);
        }
        claimMore();
    }

    void streamLost(const ClaimId &claim)
    {
        const auto it = m_claims.find(claim);
        if (it == m_claims.end()) {
            return;
        }
        it->second.streamOpen = false;
        if (it->second.state == ClaimState::Open) {
            giveUp(claim, "the stream was lost before the hand-over");
        } else {
            m_output.cancelRun(claim);
        }
    }

    void firstToken(const ClaimId &claim)
    {
        if (auto *record = running(claim)) {
            policyOf(*record).firstToken(record->claim.id);
        }
    }

    void tokens(const ClaimId &claim, std::uint32_t count)
    {
        if (auto *record = running(claim)) {
            policyOf(*record).token(record->claim.id, count);
        }
    }

    void finished(const ClaimId &claim, const RunStats &stats)
    {
        auto *record = running(claim);
        if (record == nullptr) {
            return;
        }
        policyOf(*record).finished(record->claim.id, stats);
        m_claims.erase(claim);
        claimMore();
    }

    TargetPolicy *policyOfEngine(const EngineName &engine)
    {
        const auto it = m_engineTarget.find(engine);
        return it == m_engineTarget.end() ? nullptr : m_policies.at(it->second).get();
    }

    void claimMore()
    {
        for (auto &[name, policy] : m_policies) {
            while (accepting(name)) {
                const auto choice = policy->nextClaim();
                if (!choice) {
                    break;
                }
                open(name, *choice);
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
        return m_claims.empty();
    }

    void tick()
    {
        giveUpOldClaims();
        for (auto &[name, policy] : m_policies) {
            dropReservations(*policy);
        }
        if (m_clock.now() - m_lastStatus >= m_options.heartbeatInterval) {
            sendStatuses();
        }
        claimMore();
    }

    std::string dump() const
    {
        nlohmann::json root;
        root["host"] = m_options.own.host.text();
        root["incarnation"] = textOf(m_options.own.incarnation);
        root["revision"] = m_configuration ? m_configuration->revision : 0;
        root["claims"] = m_claims.size();
        root["refused"] = m_refused.size();
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
                m_engineTarget[it.name] = spec.name;
            }
        }
        policy->configure(engines);
        const auto *host = find(m_configuration->hosts, spec.host);
        const bool hostDrains = host == nullptr || host->state == ServingState::Draining;
        if (hostDrains || spec.state == ServingState::Draining) {
            m_draining.insert(spec.name);
        }
    }

    bool accepting(const TargetName &target) const
    {
        return !m_stopping && m_draining.count(target) == 0;
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

    void open(const TargetName &target, const ClaimChoice &choice)
    {
        const ClaimId id {m_options.own.incarnation, ++m_claimNumber};
        const Claim claim {choice.reservation.reserve.id, id, target, choice.engine};
        m_claims[id] = {claim, choice.reservation.entry, ClaimState::Open, m_clock.now(), true};
        m_output.claim(choice.reservation.entry, claim);
    }

    void onHandOver(const HandOver &handOver)
    {
        const auto it = m_claims.find(handOver.claim);
        if (it == m_claims.end() || it->second.state != ClaimState::Open || it->second.claim.id != handOver.id) {
            return;
        }
        it->second.state = ClaimState::Running;
        policyOf(it->second).dispatched(handOver.id);
        m_output.dispatch(it->second.claim, handOver);
    }

    void onCancel(const Peer &from, const Cancel &cancel)
    {
        const auto it = m_claims.find(cancel.claim);
        if (it != m_claims.end() && it->second.state == ClaimState::Running) {
            m_output.send(from, CancelReply {cancel.id, cancel.claim, Verdict::MayHaveRun});
            m_output.cancelRun(cancel.claim);
        }
    }

    void release(const ClaimId &claim)
    {
        const auto it = m_claims.find(claim);
        if (it == m_claims.end() || it->second.state != ClaimState::Open) {
            return;
        }
        policyOf(it->second).released(it->second.claim.id);
        m_claims.erase(it);
    }

    void giveUp(const ClaimId &claim, const std::string &detail)
    {
        const auto record = m_claims.at(claim);
        release(claim);
        const Refused refused {record.claim.id, claim, detail};
        m_refused[claim] = {record.entry, refused};
        m_output.closeStream(claim);
        m_output.send(record.entry, refused);
    }

    void giveUpOldClaims()
    {
        std::vector<ClaimId> old;
        for (const auto &[id, record] : m_claims) {
            if (record.state == ClaimState::Open && m_clock.now() - record.openedAt >= m_options.claimTimeout) {
                old.push_back(id);
            }
        }
        for (const auto &it : old) {
            giveUp(it, "no hand-over within the claim timeout");
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
        m_lastStatus = m_clock.now();
        for (const auto &it : m_peers) {
            sendStatus(it);
        }
        for (const auto &[claim, record] : m_refused) {
            m_output.send(record.entry, record.refused);
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

    ClaimRecord *running(const ClaimId &claim)
    {
        const auto it = m_claims.find(claim);
        return it != m_claims.end() && it->second.state == ClaimState::Running ? &it->second : nullptr;
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
    std::map<EngineName, TargetName> m_engineTarget;
    std::set<TargetName> m_draining;
    std::set<Peer> m_peers;
    std::uint64_t m_claimNumber = 0;
    std::unordered_map<ClaimId, ClaimRecord> m_claims;
    std::unordered_map<ClaimId, RefusedRecord> m_refused;
    TimePoint m_lastStatus {};
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

void TargetMachine::peerUp(const Peer &peer)
{
    m_impl->peerUp(peer);
}

void TargetMachine::peerDown(const Peer &peer)
{
    m_impl->peerDown(peer);
}

void TargetMachine::message(const Peer &from, const Message &message)
{
    m_impl->message(from, message);
}

void TargetMachine::streamLost(const ClaimId &claim)
{
    m_impl->streamLost(claim);
}

void TargetMachine::firstToken(const ClaimId &claim)
{
    m_impl->firstToken(claim);
}

void TargetMachine::tokens(const ClaimId &claim, std::uint32_t count)
{
    m_impl->tokens(claim, count);
}

void TargetMachine::finished(const ClaimId &claim, const RunStats &stats)
{
    m_impl->finished(claim, stats);
}

void TargetMachine::engineLoad(const EngineName &engine, std::uint32_t running, std::uint32_t waiting)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->engineLoad(engine, running, waiting);
    }
}

void TargetMachine::engineFound(const EngineName &engine, std::uint32_t running)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->engineFound(engine, running);
    }
}

void TargetMachine::engineUp(const EngineName &engine, bool up)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->engineUp(engine, up);
        m_impl->claimMore();
    }
}

void TargetMachine::cacheEvent(const EngineName &engine,
                               const std::vector<PrefixHash> &cached,
                               const std::vector<PrefixHash> &evicted)
{
    if (auto *policy = m_impl->policyOfEngine(engine)) {
        policy->cacheEvent(engine, cached, evicted);
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
