#include "simentry.h"

namespace monsoonward
{

SimEntry::SimEntry(EventQueue &queue,
                   SimNetwork &network,
                   SimStore &store,
                   SimRecord &record,
                   Random &random,
                   const EntryOptions &options,
                   Duration clockOffset,
                   EventLog &events)
    : SimProcess(queue, options.own, HostRole::Entry, clockOffset)
    , m_events(queue)
    , m_network(network)
    , m_record(record)
    , m_table(queue, store, random)
    , m_machine(options, clock(), random, m_table, *this, events)
{
}

void SimEntry::start()
{
    m_table.setProcess(weak_from_this());
}

void SimEntry::submit(const std::string &name)
{
    const auto id = m_machine.nextId();
    m_record.setId(name, id);
    m_machine.submit(specOf(*m_record.find(name)));
}

void SimEntry::hangUp(const std::string &name)
{
    m_machine.cancel(m_record.find(name)->id);
}

void SimEntry::configure(const ConfigurationPtr &configuration)
{
    m_machine.configure(configuration);
}

void SimEntry::peerUp(const Peer &peer, HostRole role)
{
    m_machine.onPeerUp(peer, role);
}

void SimEntry::peerDown(const Peer &peer)
{
    m_machine.onPeerDown(peer);
}

void SimEntry::message(const Peer &from, const Message &message)
{
    if (const auto *begin = std::get_if<AnswerBegin>(&message)) {
        const auto it = m_answers.find(begin->claim);
        if (it != m_answers.end() && !it->second.answerValidator.begin(*begin)) {
            abortAnswer(from, begin->id, begin->claim);
        }
    } else if (const auto *chunk = std::get_if<AnswerChunk>(&message)) {
        onAnswerChunk(from, *chunk);
    } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        onAnswerEnd(from, *end);
    } else {
        m_machine.onMessage(from, message);
    }
}

void SimEntry::streamLost(const Peer &from, const RequestId &id, const ClaimId &claim)
{
    m_answers.erase(claim);
    m_machine.onStreamLost(from, id, claim);
}

void SimEntry::hostList(const std::vector<ListedHost> &hosts)
{
    m_machine.updateHostList(hosts);
}

void SimEntry::tick()
{
    m_machine.tick();
}

bool SimEntry::idle() const
{
    return m_machine.idle();
}

std::string SimEntry::dump() const
{
    return m_machine.dump();
}

void SimEntry::beginShutdown()
{
    m_machine.beginShutdown();
}

void SimEntry::send(const Peer &to, const Message &message)
{
    m_network.send(own(), to, message);
}

void SimEntry::handOver(const Peer &to, const RequestId &id, const ClaimId &claim)
{
    m_answers.emplace(claim, Answer {AnswerValidator(id, claim), {}});
    m_claims[id] = claim;
    m_network.send(own(), to, HandOver {id, claim, "POST", "/", {}, m_record.find(id)->request.body});
}

void SimEntry::rejectClaim(const Peer &to, const RequestId &id, const ClaimId &claim)
{
    m_network.send(own(), to, ClaimRejected {id, claim});
}

void SimEntry::refuse(const RequestId &id, const Refusal &refusal)
{
    m_record.find(id)->answers.push_back({refusal.verdict, refusal.reason, {}, m_events.now()});
}

void SimEntry::complete(const RequestId &id, const AnswerEnd &end)
{
    const auto it = m_answers.find(end.claim);
    const auto body = it == m_answers.end() ? std::string("the answer's bytes are gone") : it->second.body;
    m_answers.erase(end.claim);
    m_record.find(id)->answers.push_back({Verdict::Completed, std::nullopt, body, m_events.now()});
}

void SimEntry::onAnswerChunk(const Peer &from, const AnswerChunk &chunk)
{
    const auto it = m_answers.find(chunk.claim);
    if (it == m_answers.end()) {
        return;
    }
    if (it->second.answerValidator.chunk(chunk)) {
        it->second.body += chunk.bytes;
    } else {
        abortAnswer(from, chunk.id, chunk.claim);
    }
}

void SimEntry::onAnswerEnd(const Peer &from, AnswerEnd end)
{
    const auto it = m_answers.find(end.claim);
    if (it == m_answers.end()) {
        return;
    }
    const auto verdict = it->second.answerValidator.end(end);
    if (!verdict) {
        abortAnswer(from, end.id, end.claim);
        return;
    }
    if (end.verdict != Verdict::NotRun) {
        end.verdict = verdict.value();
    }
    m_machine.onMessage(from, end);
}

void SimEntry::abortAnswer(const Peer &from, const RequestId &id, const ClaimId &claim)
{
    m_answers.erase(claim);
    m_machine.onMessage(from, AnswerEnd {id, claim, 0, Verdict::MayHaveRun, "the answer's pieces don't fit", 0, 0, 0});
}

RequestSpec SimEntry::specOf(const SimCall &call) const
{
    const auto &request = call.request;
    const auto customer = "customer-" + std::to_string(request.customer);
    const auto body = request.body.empty() ? request.name : request.body;
    RequestSpec spec;
    spec.id = call.id;
    spec.customer = CustomerName {customer};
    spec.service = ServiceName {"service-1"};
    spec.tier = Tier {request.tier};
    spec.deadline = clock().now() + request.deadline;
    spec.idempotent = request.key.empty();
    spec.idempotencyKey = request.key;
    spec.promptTokens = request.promptTokens;
    spec.outputTokens = request.outputTokens;
    spec.fingerprint = std::hash<std::string>()(customer + "/" + body) | 1;
    spec.bodyBytes = body.size();
    return spec;
}

} // namespace monsoonward
