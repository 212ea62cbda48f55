// Which engines an exchange may use for a stream: those of the version of the engine that wrote its first event.
#include "exchange.h"

#include "headervalues.h"
#include "httpstatus.h"

#include <algorithm>

namespace monsoonward
{

using namespace httpstatus;

namespace
{

constexpr std::size_t maxStreamNameBytes = 256; // longer ones are no request ID

/// @return the gateways that were asked about a stream, for the log
std::string textOf(const std::vector<AskedPeer> &asked)
{
    std::string text = "asked gateways: " + std::to_string(asked.size());
    for (const auto &it : asked) {
        text += std::string(" ") + it.host.text() + (it.hasAnswered ? "=unknown" : "=silent");
    }
    return text;
}

} // namespace

bool Exchange::isTakeUp() const
{
    const auto &dialect = m_core.adapter.dialect();
    const auto [first, last] = m_request.base().equal_range(dialect.lastEventId);
    const bool hasLastEvent = std::any_of(first, last, [](const auto &it) { return !it.value().empty(); });
    return m_route->isStream && (m_request.count(dialect.resumes) != 0 || hasLastEvent);
}

StreamKey Exchange::streamKey(std::string_view request) const
{
    return streamKeyOf(request, m_customer == nullptr ? std::string_view() : m_customer->name.text());
}

void Exchange::findStream()
{
    const auto [first, last] = m_request.base().equal_range(m_core.adapter.dialect().resumes);
    const auto name = first == last ? std::string_view() : viewOf(first->value());
    if (name.empty() || name.size() > maxStreamNameBytes || std::next(first) != last) {
        refuseTakeUp("stream-unnamed", "no valid name of the stream's first request");
        return;
    }
    m_stream = streamKey(name);
    m_core.streams.find(m_stream, [weak = weak_from_this()](const StreamFinding &finding) {
        if (const auto self = weak.lock(); self && self->m_sink != nullptr) {
            self->streamFound(finding);
        }
    });
}

void Exchange::streamFound(const StreamFinding &finding)
{
    m_streamSource = finding.source;
    const auto asked = textOf(finding.asked);
    if (!finding.origin) {
        refuseTakeUp("stream-unknown", asked);
    } else if (finding.origin->isDoubtful) {
        refuseTakeUp("stream-doubtful", asked);
    } else if (!chooseServiceOf(finding.origin->build)) {
        refuseTakeUp("version-gone", "no engine of the stream's version");
    } else {
        m_core.metrics.takeUpEnded("known");
        m_streamBuild = finding.origin->build;
        if (mustReadEngines()) {
            readEngines([this] { attempt(); });
        } else {
            attempt();
        }
    }
}

bool Exchange::chooseServiceOf(EngineBuild build)
{
    const auto engines = m_core.engines.all();
    const auto &services = m_route->services;
    const auto it = std::find_if(services.begin(), services.end(), [&](const WeightedService &weighted) {
        return std::any_of(engines.begin(), engines.end(), [&](const EngineRecord *engine) {
            return engine->service == weighted.service && buildOf(*engine) == build;
        });
    });
    if (it == services.end()) {
        return false;
    }
    m_service = it->service;
    return true;
}

void Exchange::refuseTakeUp(const std::string &reason, const std::string &detail)
{
    m_core.metrics.takeUpEnded(reason);
    refuse(unavailable, reason, defaultRetryAfter, detail);
}

void Exchange::recordStreamStart()
{
    const auto &engine = m_call->engine();
    if (!m_streamBuild) {
        m_stream = streamKey(requestId());
        m_streamBuild = buildOf(engine);
        const auto *registered = m_core.engines.find(engine.name);
        m_isStreamDoubtful = registered != nullptr && buildOf(*registered) != *m_streamBuild;
    }
    recordWriter();
    const auto &name = engine.name;
    // If others were told only once the version is confirmed, the stream would be unknown if this gateway ended before.
    const bool isInStep = m_core.engines.isVersionCertain(m_core.continuity.connectedSince(name), m_core.clock.now())
        && !m_core.continuity.mayHaveStartedAgain(name, m_core.engines.readAsOf());
    if (confirmWriter() || isInStep) {
        tellStream();
    }
}

void Exchange::recordWriter()
{
    const auto run = m_call->connectedRun();
    m_writer = {m_call->engine(), run ? run->registeredBy : m_core.clock.now()};
}

bool Exchange::confirmWriter()
{
    if (!m_writer || m_writer->isConfirmed) {
        return m_writer.has_value();
    }
    m_writer->isConfirmed = m_core.engines.isRunRegistered(m_writer->engine, m_writer->registeredBy);
    return m_writer->isConfirmed;
}

void Exchange::tellStream()
{
    if (m_isStreamTold || m_isStreamDoubtful || m_route->repeatability != Repeatability::Resumable) {
        return;
    }
    m_isStreamTold = true;
    for (const auto &it : m_core.streams.begin(m_stream, m_writer->engine, m_callerDeadline - m_core.clock.now())) {
        m_streamHolders += (m_streamHolders.empty() ? "" : ",") + it.host.text();
    }
}

void Exchange::doubtStream()
{
    if (m_isStreamTold) {
        m_core.streams.doubt(m_writer->engine, m_firstBytesAt);
    }
}

bool Exchange::isVersionCertain(const EngineName &engine) const
{
    const auto &engines = m_core.engines;
    const auto &continuity = m_core.continuity;
    return engines.isRunProven(continuity.connectedSince(engine))
        || (engines.isCurrent(m_core.clock.now()) && !continuity.mayHaveStartedAgain(engine, engines.readAsOf()));
}

std::vector<EngineName> Exchange::uncertainEngines() const
{
    std::vector<EngineName> uncertain;
    for (const auto *it : m_core.engines.ofService(m_service)) {
        if (!isVersionCertain(it->name)) {
            uncertain.push_back(it->name);
        }
    }
    return uncertain;
}

bool Exchange::mustReadEngines() const
{
    const auto engines = m_core.engines.ofService(m_service);
    return std::any_of(engines.begin(), engines.end(), [&](const EngineRecord *it) {
        return buildOf(*it) == m_streamBuild && !m_core.engines.isRunProven(m_core.continuity.connectedSince(it->name));
    });
}

void Exchange::readEngines(std::function<void()> goOn)
{
    m_areEnginesRead = true;
    m_core.registrations->readNow([weak = weak_from_this(), goOn = std::move(goOn)] {
        if (const auto self = weak.lock(); self && self->m_sink != nullptr) {
            goOn();
        }
    });
}

bool Exchange::isStreamDoubtful() const
{
    const auto origin = m_streamBuild ? m_core.streams.findHere(m_stream) : std::nullopt;
    return m_isStreamDoubtful || (origin && origin->isDoubtful);
}

} // namespace monsoonward
