#include "simtarget.h"

#include <stdexcept>

namespace monsoonward
{

SimTarget::SimTarget(EventQueue &queue,
                     SimNetwork &network,
                     SimRecord &record,
                     const TargetOptions &options,
                     Duration clockOffset,
                     const std::vector<EnginePtr> &engines,
                     EventLog &events)
    : SimProcess(queue, options.own, HostRole::Target, clockOffset)
    , m_network(network)
    , m_record(record)
    , m_engines(engines)
    , m_machine(options, clock(), *this, events)
{
}

void SimTarget::configure(const ConfigurationPtr &configuration)
{
    m_machine.configure(configuration);
}

void SimTarget::peerUp(const Peer &peer, HostRole /*role*/)
{
    m_machine.onPeerUp(peer);
}

void SimTarget::peerDown(const Peer &peer)
{
    m_machine.onPeerDown(peer);
    for (auto &[id, stream] : m_streams) {
        if (stream.entry == peer && stream.open) {
            stream.open = false;
            m_machine.onStreamLost(id);
        }
    }
}

void SimTarget::message(const Peer &from, const Message &message)
{
    if (std::holds_alternative<HandOver>(message)) {
        const auto it = m_streams.find(std::get<HandOver>(message).claim);
        if (it == m_streams.end() || !it->second.open) {
            return;
        }
    }
    m_machine.onMessage(from, message);
}

void SimTarget::streamLost(const Peer & /*from*/, const RequestId & /*id*/, const ClaimId &claim)
{
    m_machine.onStreamLost(claim);
}

void SimTarget::tick()
{
    m_machine.tick();
}

bool SimTarget::idle() const
{
    return m_machine.idle();
}

std::string SimTarget::dump() const
{
    return m_machine.dump();
}

void SimTarget::firstToken(const ClaimId &claim)
{
    post({}, [this, claim] {
        m_machine.onFirstToken(claim);
        m_machine.onTokens(claim, 1);
    });
}

void SimTarget::finished(const ClaimId &claim, bool completed)
{
    post({}, [this, claim, completed] { onFinished(claim, completed); });
}

void SimTarget::inheritedRuns(const EngineName &engine, std::uint32_t running)
{
    post({}, [this, engine, running] { m_machine.onInheritedRequests(engine, running); });
}

void SimTarget::engineUp(const EngineName &engine, bool up)
{
    post({}, [this, engine, up] { m_machine.setEngineUp(engine, up); });
}

void SimTarget::beginShutdown()
{
    m_machine.beginShutdown();
}

void SimTarget::send(const Peer &to, const Message &message)
{
    m_network.send(own(), to, message);
}

void SimTarget::sendClaim(const Peer &to, const Claim &claim)
{
    m_streams[claim.claim] = {to, claim, true};
    m_network.send(own(), to, claim);
}

void SimTarget::closeStream(const ClaimId &claim)
{
    const auto it = m_streams.find(claim);
    if (it != m_streams.end()) {
        m_network.closeStream(own(), it->second.entry, it->second.claim.id, claim);
        m_streams.erase(it);
    }
}

void SimTarget::dispatch(const Claim &claim, const HandOver & /*request*/)
{
    engineOf(claim.engine).run(claim.claim, claim.id, m_record.find(claim.id)->request);
}

void SimTarget::cancelRun(const ClaimId &claim)
{
    for (const auto &it : m_engines) {
        it->cancel(claim);
    }
}

SimEngine &SimTarget::engineOf(const EngineName &name) const
{
    for (const auto &it : m_engines) {
        if (it->name() == name) {
            return *it;
        }
    }
    throw std::invalid_argument("no engine \"" + name.text() + "\" on host " + own().host.text());
}

void SimTarget::onFinished(const ClaimId &claim, bool completed)
{
    const auto it = m_streams.find(claim);
    if (it != m_streams.end()) {
        const auto stream = it->second;
        m_streams.erase(it);
        const auto &id = stream.claim.id;
        const auto body = SimRecord::expectedBody(id);
        const auto half = body.size() / 2;
        if (stream.open && completed) {
            send(stream.entry, AnswerBegin {id, claim, 200, {}});
            send(stream.entry, AnswerChunk {id, claim, 0, body.substr(0, half)});
            send(stream.entry, AnswerChunk {id, claim, half, body.substr(half)});
            send(stream.entry, AnswerEnd {id, claim, body.size(), Verdict::Completed, {}, 0, 0, 0});
        } else if (stream.open) {
            send(stream.entry, AnswerEnd {id, claim, 0, Verdict::MayHaveRun, "the engine broke off", 0, 0, 0});
        }
    }
    RunStats stats;
    stats.failed = !completed;
    m_machine.onFinished(claim, stats);
}

} // namespace monsoonward
