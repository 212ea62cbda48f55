#include "entrynode.h"

namespace monsoonward
{

namespace
{

constexpr auto hostListFetchInterval = std::chrono::seconds(2);

EntryOptions machineOptions(const Settings &settings, const Peer &own)
{
    EntryOptions options;
    options.own = own;
    options.region = settings.region;
    options.heartbeatTimeout = settings.heartbeatTimeout;
    return options;
}

HttpReply unavailableReply(unsigned status, const std::string &reason, const std::string &detail)
{
    auto reply = refusalBeforeSubmit(status, reason, detail);
    reply.headers.emplace_back("Retry-After", "1");
    return reply;
}

/// Returns flow-control credit on the stream of a claim.
class ClaimCredit : public AnswerCredit
{
public:
    ClaimCredit(PeerTransport &transport, const ClaimId &claim)
        : m_transport(transport)
        , m_claim(claim)
    {
    }
    void consumed(std::size_t wireBytes) override
    {
        m_transport.consumed(m_claim, wireBytes);
    }

private:
    PeerTransport &m_transport;
    ClaimId m_claim;
};

} // namespace

EntryNode::EntryNode(const Settings &settings,
                     const Clock &clock,
                     Random &random,
                     TableService &table,
                     HostList &hosts,
                     EventLog &events,
                     Metrics &metrics)
    : Node(settings, clock, events, metrics)
    , m_hosts(hosts)
    , m_requests(settings.maxOpenRequests)
    , m_machine(machineOptions(settings, own()), clock, random, table, *this, events)
{
}

EntryNode::~EntryNode()
{
    stopTransport();
    stopControl();
}

std::optional<HttpReply> EntryNode::submit(const HttpRequest &request, const std::shared_ptr<AnswerSink> &sink)
{
    const auto snapshot = this->snapshot();
    if (!snapshot) {
        return unavailableReply(503, "no-configuration", "this entry has no configuration that it may trust yet");
    }
    auto parsed = parseCallerRequest(request, *snapshot->configuration, snapshot->keys);
    if (const auto *reply = std::get_if<HttpReply>(&parsed)) {
        return *reply;
    }
    if (stopping()) {
        return unavailableReply(503, textOf(RefusalReason::Stopping), "this entry is shutting down");
    }
    if (!m_requests.tryReserve()) {
        return unavailableReply(503, "too-many-requests", "this entry has as many requests in progress as it may");
    }
    const auto open = std::make_shared<OpenRequest>();
    open->parsed = std::move(std::get<ParsedRequest>(parsed));
    open->sink = sink;
    open->arrivedAt = clock().now();
    loop().post([this, open] {
        open->id = m_machine.nextId();
        open->parsed.spec.id = open->id;
        open->parsed.spec.deadline = open->arrivedAt + open->parsed.timeLeft;
        m_requests.add(open);
        open->sink->accepted(open->id);
        runGuarded(open->id, Verdict::NotRun, [&] { m_machine.submit(open->parsed.spec); });
    });
    return std::nullopt;
}

void EntryNode::cancel(const RequestId &id)
{
    loop().post([this, id] { m_machine.cancel(id); });
}

std::size_t EntryNode::openRequests() const
{
    return m_requests.count();
}

void EntryNode::claimMessage(const Peer &from, const Claim &claim, Message message, std::size_t wireBytes)
{
    if (std::holds_alternative<Claim>(message)) {
        loop().post([this, from, claim] {
            runGuarded(claim.id, Verdict::MayHaveRun, [&] { m_machine.onMessage(from, claim); });
        });
        return;
    }
    const auto open = m_requests.find(claim.id);
    if (!open) {
        transport().closeClaim(claim.claim);
        return;
    }
    if (auto *end = std::get_if<AnswerEnd>(&message)) {
        end->verdict = validateAnswerEnd(*open, *end);
        loop().post([this, from, end = *end] {
            runGuarded(end.id, Verdict::MayHaveRun, [&] { m_machine.onMessage(from, end); });
        });
        return;
    }
    onAnswerMessage(*open, claim, message, wireBytes);
}

void EntryNode::claimClosed(const Peer &from, const Claim &claim)
{
    loop().post([this, from, claim] { m_machine.onStreamLost(from, claim.id, claim.claim); });
}

void EntryNode::runGuarded(const RequestId &id, Verdict verdict, const std::function<void()> &task)
{
    try {
        task();
    } catch (const InvariantViolation &violation) {
        if (m_requests.find(id)) {
            refuse(id, {RefusalReason::Internal, verdict, std::nullopt, violation.what()});
        }
    }
}

std::shared_ptr<const EntryNode::ConfigurationSnapshot> EntryNode::snapshot() const
{
    const std::lock_guard lock(m_snapshotMutex);
    return m_snapshot;
}

void EntryNode::onAnswerMessage(OpenRequest &request, const Claim &claim, const Message &message, std::size_t wireBytes)
{
    const std::lock_guard lock(request.mutex);
    if (request.ended || request.claim != claim.claim || !forwardAnswerMessage(request, message, wireBytes)) {
        transport().closeClaim(claim.claim);
    }
}

bool EntryNode::forwardAnswerMessage(OpenRequest &request, const Message &message, std::size_t wireBytes)
{
    if (const auto *begin = std::get_if<AnswerBegin>(&message)) {
        if (!request.answerValidator->begin(*begin)) {
            return false;
        }
        request.firstByteAt = clock().now();
        request.sink->begin(begin->status, begin->headers);
        request.credit->consumed(wireBytes);
        return true;
    }
    const auto *chunk = std::get_if<AnswerChunk>(&message);
    if (chunk == nullptr || !request.answerValidator->chunk(*chunk)) {
        return false;
    }
    return request.sink->bytes(chunk->bytes, wireBytes, request.credit);
}

Verdict EntryNode::validateAnswerEnd(OpenRequest &request, const AnswerEnd &end)
{
    const std::lock_guard lock(request.mutex);
    if (!request.answerValidator || request.claim != end.claim || request.ended) {
        return Verdict::MayHaveRun;
    }
    if (end.verdict == Verdict::NotRun && request.answerValidator->received() == 0) {
        return Verdict::NotRun;
    }
    const auto verdict = request.answerValidator->end(end);
    return verdict ? verdict.value() : Verdict::MayHaveRun;
}

void EntryNode::machineConfigure(const ConfigurationPtr &configuration)
{
    m_machine.configure(configuration);
    const auto snapshot = std::make_shared<const ConfigurationSnapshot>(configuration);
    const std::lock_guard lock(m_snapshotMutex);
    m_snapshot = snapshot;
}

void EntryNode::machinePeerUp(const Peer &peer, HostRole role)
{
    m_machine.onPeerUp(peer, role);
}

void EntryNode::machinePeerDown(const Peer &peer)
{
    m_machine.onPeerDown(peer);
}

void EntryNode::machineMessage(const Peer &from, const Message &message)
{
    m_machine.onMessage(from, message);
}

void EntryNode::machineTick()
{
    m_machine.tick();
    if (clock().now() - m_hostsFetchedAt >= hostListFetchInterval) {
        fetchHostList();
    }
}

void EntryNode::fetchHostList()
{
    m_hostsFetchedAt = clock().now();
    m_hosts.fetch([this](const Result<std::vector<ListedHost>> &hosts) {
        if (hosts) {
            m_machine.updateHostList(hosts.value());
        }
    });
}

void EntryNode::machineBeginShutdown()
{
    m_machine.beginShutdown();
}

bool EntryNode::machineIdle() const
{
    return m_machine.idle() && m_requests.count() == 0;
}

std::string EntryNode::machineDump() const
{
    return m_machine.dump();
}

void EntryNode::send(const Peer &to, const Message &message)
{
    Node::send(to, message);
}

void EntryNode::handOver(const Peer & /*to*/, const RequestId &id, const ClaimId &claim)
{
    const auto open = m_requests.find(id);
    checkInvariant(open != nullptr, "hand-over-open-request", textOf(id));
    {
        const std::lock_guard lock(open->mutex);
        open->claim = claim;
        open->answerValidator.emplace(id, claim);
        open->credit = std::make_shared<ClaimCredit>(transport(), claim);
    }
    const auto &forwarded = open->parsed.forwarded;
    transport().answerClaim(claim,
                            std::make_shared<const Message>(HandOver {
                                id, claim, forwarded.method, forwarded.path, forwarded.headers, forwarded.body}));
}

void EntryNode::rejectClaim(const Peer & /*to*/, const RequestId &id, const ClaimId &claim)
{
    transport().answerClaim(claim, std::make_shared<const Message>(ClaimRejected {id, claim}));
}

void EntryNode::refuse(const RequestId &id, const Refusal &refusal)
{
    const auto open = m_requests.remove(id);
    checkInvariant(open != nullptr, "one-final-answer", "a second answer to " + textOf(id));
    {
        const std::lock_guard lock(open->mutex);
        open->ended = true;
        open->sink->refused(id, refusal);
    }
    finishRequest(*open, refusal.verdict, refusal.reason);
}

void EntryNode::complete(const RequestId &id, const AnswerEnd &end)
{
    const auto open = m_requests.remove(id);
    checkInvariant(open != nullptr, "one-final-answer", "a second answer to " + textOf(id));
    {
        const std::lock_guard lock(open->mutex);
        checkInvariant(
            open->answerValidator && open->answerValidator->received() == end.length, "whole-answer", textOf(id));
        open->ended = true;
        open->sink->completed();
    }
    metrics().addPrefillTokens(open->parsed.spec.service, end.promptTokens, end.cachedTokens, 0);
    finishRequest(*open, Verdict::Completed, std::nullopt);
}

void EntryNode::finishRequest(OpenRequest &request, Verdict verdict, std::optional<RefusalReason> reason)
{
    m_requests.release();
    const auto now = clock().now();
    RequestEnd end;
    end.service = request.parsed.spec.service;
    end.tier = request.parsed.spec.tier;
    end.verdict = verdict;
    end.reason = reason;
    end.withinDeadline = now <= request.parsed.spec.deadline;
    end.total = now - request.arrivedAt;
    end.toFirstToken = request.firstByteAt == TimePoint() ? Duration::zero() : request.firstByteAt - request.arrivedAt;
    metrics().recordRequestEnd(end);
}

} // namespace monsoonward
