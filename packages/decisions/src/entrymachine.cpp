#include "monsoonward/decisions/entrymachine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>

namespace monsoonward
{

namespace
{

enum class RequestState { Waiting, HandedOver };

struct RequestRecord
{
    RequestSpec spec;
    RequestState state = RequestState::Waiting;
    std::vector<TargetName> reserved;
    ClaimId claim;
    Peer holder; // of the claim
};

struct TargetRecord
{
    Peer peer;
    TargetName name;
};

} // namespace

class EntryMachine::Impl : public EntryPolicyOutput
{
public:
    Impl(const EntryOptions &options, const Clock &clock, Random &random, EntryOutput &output, EventLog &events)
        : m_options(options)
        , m_clock(clock)
        , m_output(output)
        , m_events(events)
        , m_policy(makeEntryPolicy(options.own, options.region, clock, random, *this, events))
    {
    }

    void sendToEntry(const Peer &to, const Message &message) override
    {
        m_output.send(to, message);
    }

    void configure(const ConfigurationPtr &configuration)
    {
        m_configuration = configuration;
        m_policy->configure(configuration);
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
        if (const auto refusal = m_policy->admit(spec)) {
            m_output.refuse(spec.id, *refusal);
            return;
        }
        auto &record = m_requests[spec.id];
        record.spec = spec;
        reserve(record);
    }

    void cancel(const RequestId &id)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        if (it->second.state == RequestState::HandedOver) {
            m_output.send(it->second.holder, Cancel {id, it->second.claim});
        }
        const auto verdict = it->second.state == RequestState::Waiting ? Verdict::NotRun : Verdict::MayHaveRun;
        refuse(id, {RefusalReason::CallerGone, verdict, std::nullopt, "the caller has gone"});
    }

    void peerUp(const Peer &peer, HostRole role)
    {
        m_peers[peer] = role;
        m_events.record(Event::PeerUp, Severity::Info, peer.host.text() + " " + textOf(peer.incarnation));
        if (role == HostRole::Entry) {
            m_policy->entryUp(peer);
        }
    }

    void peerDown(const Peer &peer)
    {
        if (m_peers.erase(peer) == 0) {
            return;
        }
        m_events.record(Event::PeerDown, Severity::Warning, peer.host.text() + " " + textOf(peer.incarnation));
        m_policy->entryDown(peer);
        dropTargetsOf(peer);
        std::vector<RequestId> lost;
        for (const auto &[id, record] : m_requests) {
            if (record.state == RequestState::HandedOver && record.holder == peer) {
                lost.push_back(id);
            }
        }
        for (const auto &it : lost) {
            refuse(it, {RefusalReason::TargetLost, Verdict::MayHaveRun, std::nullopt, "lost " + peer.host.text()});
        }
    }

    void message(const Peer &from, const Message &message)
    {
        if (const auto *claim = std::get_if<Claim>(&message)) {
            onClaim(from, *claim);
        } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
            onAnswerEnd(*end);
        } else if (const auto *status = std::get_if<TargetStatus>(&message)) {
            onTargetStatus(from, *status);
        } else if (const auto *refused = std::get_if<Refused>(&message)) {
            onRefused(from, *refused);
        } else if (const auto *dropped = std::get_if<ReservationDropped>(&message)) {
            onReservationDropped(*dropped);
        } else {
            m_policy->message(from, message);
        }
    }

    void streamLost(const RequestId &id, const ClaimId &claim)
    {
        const auto it = m_requests.find(id);
        if (it != m_requests.end() && it->second.state == RequestState::HandedOver && it->second.claim == claim) {
            refuse(id, {RefusalReason::TargetLost, Verdict::MayHaveRun, std::nullopt, "the stream was lost"});
        }
    }

    void beginShutdown()
    {
        m_stopping = true;
    }

    bool idle() const
    {
        return m_requests.empty();
    }

    void tick()
    {
        for (const auto &it : m_policy->tick()) {
            refuse(it.id, it.refusal);
        }
        for (auto &[id, record] : m_requests) {
            if (record.state == RequestState::Waiting) {
                reserve(record);
            }
        }
    }

    std::string dump() const
    {
        nlohmann::json root;
        root["host"] = m_options.own.host.text();
        root["incarnation"] = textOf(m_options.own.incarnation);
        root["revision"] = m_configuration ? m_configuration->revision : 0;
        root["requests"] = m_requests.size();
        root["peers"] = nlohmann::json::array();
        for (const auto &[peer, role] : m_peers) {
            root["peers"].push_back({{"host", peer.host.text()}, {"incarnation", textOf(peer.incarnation)}});
        }
        return root.dump();
    }

private:
    void reserve(RequestRecord &record)
    {
        for (const auto &it : m_policy->candidates(record.spec, record.reserved)) {
            const auto target = m_targets.find(it);
            if (target == m_targets.end()) {
                continue;
            }
            record.reserved.push_back(it);
            const auto &spec = record.spec;
            m_output.send(target->second.peer,
                          Reserve {spec.id,
                                   it,
                                   spec.service,
                                   spec.customer,
                                   spec.weight,
                                   spec.tier,
                                   spec.deadline - m_clock.now(),
                                   spec.promptTokens,
                                   spec.outputTokens,
                                   spec.prefixes});
        }
    }

    void withdraw(RequestRecord &record, const TargetName &except)
    {
        for (const auto &it : record.reserved) {
            const auto target = m_targets.find(it);
            if (it != except && target != m_targets.end()) {
                m_output.send(target->second.peer, Withdraw {record.spec.id, it});
            }
        }
        record.reserved.clear();
    }

    void onClaim(const Peer &from, const Claim &claim)
    {
        const auto it = m_requests.find(claim.id);
        if (it == m_requests.end() || it->second.state != RequestState::Waiting) {
            m_output.rejectClaim(from, claim.id, claim.claim);
            return;
        }
        auto &record = it->second;
        record.state = RequestState::HandedOver;
        record.claim = claim.claim;
        record.holder = from;
        withdraw(record, claim.target);
        m_policy->handedOver(record.spec, claim.target);
        m_output.handOver(from, claim.id, claim.claim);
    }

    void onAnswerEnd(const AnswerEnd &end)
    {
        const auto it = m_requests.find(end.id);
        if (it == m_requests.end() || it->second.state != RequestState::HandedOver || it->second.claim != end.claim) {
            return;
        }
        if (end.verdict != Verdict::Completed) {
            refuse(end.id, {RefusalReason::EngineFailed, end.verdict, std::nullopt, end.detail});
            return;
        }
        const auto spec = it->second.spec;
        m_requests.erase(it);
        m_policy->ended(spec, Verdict::Completed, std::nullopt);
        m_output.completed(end.id, end);
    }

    void onTargetStatus(const Peer &from, const TargetStatus &status)
    {
        m_targets[status.target] = {from, status.target};
        if (status.accepting) {
            m_policy->targetStatus(status);
        } else {
            m_policy->targetGone(status.target);
        }
    }

    void onRefused(const Peer &from, const Refused &refused)
    {
        m_output.send(from, RefusedAck {refused.claim});
        const auto it = m_requests.find(refused.id);
        if (it == m_requests.end() || it->second.state != RequestState::HandedOver
            || it->second.claim != refused.claim) {
            return;
        }
        it->second.state = RequestState::Waiting;
        m_policy->returned(it->second.spec);
        reserve(it->second);
    }

    void onReservationDropped(const ReservationDropped &dropped)
    {
        const auto it = m_requests.find(dropped.id);
        if (it == m_requests.end()) {
            return;
        }
        auto &reserved = it->second.reserved;
        reserved.erase(std::remove(reserved.begin(), reserved.end(), dropped.target), reserved.end());
    }

    void dropTargetsOf(const Peer &peer)
    {
        for (auto it = m_targets.begin(); it != m_targets.end();) {
            if (it->second.peer != peer) {
                ++it;
                continue;
            }
            const auto name = it->first;
            m_policy->targetGone(name);
            it = m_targets.erase(it);
            for (auto &[id, record] : m_requests) {
                auto &reserved = record.reserved;
                reserved.erase(std::remove(reserved.begin(), reserved.end(), name), reserved.end());
            }
        }
    }

    void refuse(const RequestId &id, const Refusal &refusal)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        withdraw(it->second, {});
        const auto spec = it->second.spec;
        m_requests.erase(it);
        m_policy->ended(spec, refusal.verdict, std::nullopt);
        m_output.refuse(id, refusal);
    }

    EntryOptions m_options;
    const Clock &m_clock;
    EntryOutput &m_output;
    EventLog &m_events;
    std::unique_ptr<EntryPolicy> m_policy;
    ConfigurationPtr m_configuration;
    std::uint64_t m_sequence = 0;
    bool m_stopping = false;
    std::unordered_map<RequestId, RequestRecord> m_requests;
    std::map<Peer, HostRole> m_peers;
    std::map<TargetName, TargetRecord> m_targets;
};

EntryMachine::EntryMachine(const EntryOptions &options,
                           const Clock &clock,
                           Random &random,
                           TableService & /*table*/,
                           EntryOutput &output,
                           EventLog &events)
    : m_impl(std::make_unique<Impl>(options, clock, random, output, events))
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

void EntryMachine::hostList(const std::vector<ListedHost> & /*hosts*/)
{
}

void EntryMachine::beginShutdown()
{
    m_impl->beginShutdown();
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
