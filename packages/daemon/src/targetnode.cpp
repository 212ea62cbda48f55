#include "targetnode.h"

#include "runrelay.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxRuns = 1024; // requests running on engines at the same time; each occupies a thread

TargetOptions machineOptions(const Settings &settings, const Peer &own)
{
    TargetOptions options;
    options.own = own;
    options.heartbeatInterval = settings.heartbeatInterval;
    options.heartbeatTimeout = settings.heartbeatTimeout;
    return options;
}

HttpRequest toEngineRequest(const HandOver &request)
{
    HttpRequest out {request.method, request.path, request.headers, request.body};
    out.headers.emplace_back("X-Request-Id", textOf(request.id));
    return out;
}

ServiceKind kindOf(const Configuration &configuration, const TargetName &name)
{
    const auto *target = find(configuration.targets, name);
    const auto *service = target != nullptr ? find(configuration.services, target->service) : nullptr;
    return service != nullptr ? service->kind : ServiceKind::Model;
}

} // namespace

TargetNode::TargetNode(
    const Settings &settings, const Clock &clock, EngineClient &engines, EventLog &events, Metrics &metrics)
    : Node(settings, clock, events, metrics)
    , m_engines(engines)
    , m_machine(machineOptions(settings, own()), clock, *this, events)
    , m_workers(maxRuns)
    , m_probe(engines, [this](const EngineState &it) { onEngineState(it); })
{
}

TargetNode::~TargetNode()
{
    stopRuns();
    stopTransport();
    stopControl();
}

void TargetNode::stopRuns()
{
    m_probe.stop();
    loop().post([this] {
        for (const auto &[claim, it] : m_runs) {
            it->cancel();
        }
    });
    m_workers.stop();
}

void TargetNode::claimMessage(const Peer &from, const Claim & /*claim*/, Message message, std::size_t /*wireBytes*/)
{
    loop().post([this, from, message = std::move(message)] { m_machine.onMessage(from, message); });
}

void TargetNode::claimClosed(const Peer & /*from*/, const Claim &claim)
{
    loop().post([this, id = claim.claim] { m_machine.onStreamLost(id); });
}

void TargetNode::machineConfigure(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
    m_machine.configure(configuration);
    std::vector<ProbedEngine> engines;
    for (const auto &it : configuration->engines) {
        const auto *target = find(configuration->targets, it.target);
        if (target != nullptr && target->host == own().host) {
            engines.push_back({it.name, it.address, kindOf(*configuration, it.target)});
        }
    }
    m_probe.setEngines(engines);
}

void TargetNode::machinePeerUp(const Peer &peer, HostRole role)
{
    if (role == HostRole::Entry) {
        m_machine.onPeerUp(peer);
    }
}

void TargetNode::machinePeerDown(const Peer &peer)
{
    m_machine.onPeerDown(peer);
}

void TargetNode::machineMessage(const Peer &from, const Message &message)
{
    m_machine.onMessage(from, message);
}

void TargetNode::machineTick()
{
    m_machine.tick();
}

void TargetNode::machineBeginShutdown()
{
    m_machine.beginShutdown();
}

bool TargetNode::machineIdle() const
{
    return m_machine.idle() && m_runs.empty();
}

std::string TargetNode::machineDump() const
{
    return m_machine.dump();
}

void TargetNode::send(const Peer &to, const Message &message)
{
    Node::send(to, message);
}

void TargetNode::sendClaim(const Peer &to, const Claim &claim)
{
    transport().openClaim(to, claim);
}

void TargetNode::closeStream(const ClaimId &claim)
{
    transport().closeClaim(claim);
}

void TargetNode::dispatch(const Claim &claim, const HandOver &request)
{
    checkInvariant(m_runs.count(claim.claim) == 0, "dispatch-once", textOf(claim.id));
    const auto writer = transport().answerWriter(claim.claim);
    const auto *engine = find(m_configuration->engines, claim.engine);
    if (engine == nullptr) {
        finishWithoutRun(claim, writer, "engine \"" + claim.engine.text() + "\" is no longer declared");
        return;
    }
    std::shared_ptr<EngineRun> engineRun;
    try {
        engineRun = m_engines.makeRun(engine->address, toEngineRequest(request));
    } catch (const std::exception &error) {
        finishWithoutRun(claim, writer, error.what());
        return;
    }
    m_runs[claim.claim] = engineRun;
    const auto kind = kindOf(*m_configuration, claim.target);
    m_workers.post([this, claim, engineRun, kind, writer] { run(claim, engineRun, kind, writer); });
}

void TargetNode::cancelRun(const ClaimId &claim)
{
    const auto it = m_runs.find(claim);
    if (it != m_runs.end()) {
        it->second->cancel();
    }
}

void TargetNode::run(const Claim &claim,
                     const std::shared_ptr<EngineRun> &engineRun,
                     ServiceKind kind,
                     const std::shared_ptr<AnswerWriter> &writer)
{
    bool first = true;
    RunRelay relay(claim, kind, clock(), writer, [&](std::uint32_t count) {
        loop().post([this, id = claim.claim, count, isFirst = first] {
            if (isFirst) {
                m_machine.onFirstToken(id);
            }
            m_machine.onTokens(id, count);
        });
        first = false;
    });
    const auto end = relay.end(engineRun->run(relay));
    const auto stats = relay.stats(end.verdict);
    if (end.verdict != Verdict::Completed) {
        events().record(Event::EngineAnswerBroken,
                        Severity::Warning,
                        claim.engine.text() + " " + textOf(claim.id) + ": " + end.detail);
    }
    loop().post([this, id = claim.claim, stats] {
        m_runs.erase(id);
        m_machine.onFinished(id, stats);
    });
    writer->write(end);
}

void TargetNode::finishWithoutRun(const Claim &claim,
                                  const std::shared_ptr<AnswerWriter> &writer,
                                  const std::string &detail)
{
    AnswerEnd end;
    end.id = claim.id;
    end.claim = claim.claim;
    end.verdict = Verdict::NotRun;
    end.detail = detail;
    RunStats stats;
    stats.failed = true;
    loop().post([this, id = claim.claim, stats] { m_machine.onFinished(id, stats); });
    writer->write(end);
}

void TargetNode::recordReachability(const EngineState &state)
{
    const auto it = m_engineUp.emplace(state.name, true).first;
    if (it->second == state.up) {
        return;
    }
    it->second = state.up;
    const auto event = state.up ? Event::EngineReachable : Event::EngineUnreachable;
    events().record(event, state.up ? Severity::Info : Severity::Warning, "engine " + state.name.text());
}

void TargetNode::onEngineState(const EngineState &state)
{
    loop().post([this, state] {
        recordReachability(state);
        m_machine.setEngineUp(state.name, state.up);
        if (!state.load) {
            return;
        }
        if (state.firstContact && state.load->running > 0) {
            m_machine.onInheritedRequests(state.name, state.load->running);
        }
        m_machine.onEngineLoad(state.name, state.load->running, state.load->waiting);
    });
}

} // namespace monsoonward
