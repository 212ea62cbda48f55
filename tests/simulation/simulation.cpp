#include "simulation.h"

#include "simconfiguration.h"

#include <algorithm>
#include <stdexcept>

namespace monsoonward
{

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr unsigned ticksPerHeartbeat = 3;
constexpr Duration maxConfigurationDelay = std::chrono::milliseconds(800);
constexpr Duration connectTime = std::chrono::seconds(1); // after it all processes are connected

using NoEngines = std::vector<SimTarget::EnginePtr>;

Peer peerOf(const std::string &host, Random &random)
{
    return {HostName {host}, makeIncarnation(random)};
}

Duration randomBelow(Random &random, Duration limit)
{
    return Duration(static_cast<Duration::rep>(random.nextBelow(static_cast<std::size_t>(limit.count()))));
}

} // namespace

Simulation::Simulation() = default;
Simulation::~Simulation()
{
    for (const auto &[host, it] : m_processes) {
        it->kill(); // functions queued for a paused process own a shared pointer to it; dropping them breaks the cycle
    }
}

void Simulation::start(const FleetShape &shape)
{
    m_shape = shape;
    m_random = std::make_unique<SeededRandom>(shape.seed);
    m_network = std::make_unique<SimNetwork>(m_queue, *m_random);
    m_configuration = std::make_shared<Configuration>();
    for (unsigned n = 1; n <= shape.entries; ++n) {
        m_entries.push_back("entry-" + std::to_string(n));
        m_regions[m_entries.back()] = (n - 1) % shape.regions;
    }
    for (unsigned n = 1; n <= shape.targets; ++n) {
        const auto host = "target-" + std::to_string(n);
        m_targets.push_back(host);
        m_regions[host] = (n - 1) % shape.regions;
        for (unsigned i = 1; i <= shape.enginesPerTarget; ++i) {
            const EngineName name {host + ".engine-" + std::to_string(i)};
            m_engines[host].push_back(std::make_shared<SimEngine>(m_queue, m_record, name, HostName {host}));
            m_engines[host].back()->onCrash([this](const HostName &it) { kill(it.text()); });
        }
    }
    *m_configuration = makeConfiguration(shape, m_regions);
    for (const auto &it : m_entries) {
        startProcess(it);
    }
    for (const auto &it : m_targets) {
        startProcess(it);
    }
    m_queue.after(tickInterval, [this] { tickAll(); });
    m_queue.runUntil(m_queue.now() + connectTime);
    m_startedAt = m_queue.now();
}

void Simulation::run(Duration length)
{
    m_queue.runUntil(m_queue.now() + length);
}

Duration Simulation::now() const
{
    return m_queue.now() - m_startedAt;
}

void Simulation::send(const CallerRequest &request)
{
    requireHost(request.entry);
    m_record.add(request, m_queue.now());
    const auto entry = std::dynamic_pointer_cast<SimEntry>(process(request.entry));
    if (!entry) {
        m_record.find(request.name)->connectionLost = true;
        return;
    }
    entry->post({}, [entry, name = request.name] { entry->submit(name); });
}

void Simulation::hangUp(const std::string &request)
{
    const auto *call = m_record.find(request);
    if (call == nullptr) {
        throw std::invalid_argument("no request \"" + request + "\"");
    }
    if (const auto entry = std::dynamic_pointer_cast<SimEntry>(process(call->request.entry))) {
        entry->post({}, [entry, request] { entry->hangUp(request); });
    }
}

CallerOutcome Simulation::outcome(const std::string &request) const
{
    const auto *call = m_record.find(request);
    if (call == nullptr) {
        throw std::invalid_argument("no request \"" + request + "\"");
    }
    CallerOutcome outcome;
    outcome.answers = static_cast<unsigned>(call->answers.size());
    outcome.ended = outcome.answers != 0 || call->connectionLost;
    if (call->answers.empty()) {
        outcome.reason = RefusalReason::TargetLost;
        return outcome;
    }
    const auto &answer = call->answers.front();
    outcome.verdict = answer.verdict;
    outcome.reason = answer.reason;
    outcome.own = answer.reason || answer.body == SimRecord::expectedBody(call->id);
    outcome.took = answer.at - call->sentAt;
    return outcome;
}

unsigned Simulation::runs(const std::string &request) const
{
    return m_record.runsOf(request);
}

unsigned Simulation::dispatches(const std::string &host) const
{
    requireHost(host);
    const auto &runs = m_record.runs();
    const auto n = std::count_if(runs.begin(), runs.end(), [&](const SimRun &it) { return it.target.text() == host; });
    return static_cast<unsigned>(n);
}

bool Simulation::alive(const std::string &host) const
{
    requireHost(host);
    return process(host) != nullptr;
}

void Simulation::kill(const std::string &host)
{
    requireHost(host);
    const auto killed = process(host);
    if (!killed) {
        return;
    }
    killed->kill();
    removeProcess(host);
}

void Simulation::restart(const std::string &host)
{
    kill(host);
    startProcess(host);
}

void Simulation::pause(const std::string &host)
{
    requireHost(host);
    if (const auto it = process(host)) {
        it->pause();
    }
}

void Simulation::resume(const std::string &host)
{
    requireHost(host);
    if (const auto it = process(host)) {
        it->resume();
    }
}

void Simulation::stop(const std::string &host)
{
    requireHost(host);
    if (const auto it = process(host)) {
        it->stop();
    }
}

void Simulation::setLink(const std::string &from, const std::string &to, const LinkFault &fault)
{
    requireHost(from);
    requireHost(to);
    m_network->setLink(HostName {from}, HostName {to}, fault);
}

void Simulation::setStore(StoreState state)
{
    if (state == StoreState::LoseNextAnswer) {
        m_store.table.setNextWriteFault(TableFault::LostResponse);
    } else if (state == StoreState::LoseNextCall) {
        m_store.table.setNextWriteFault(TableFault::LostRequest);
    } else {
        m_store.state = state;
    }
}

void Simulation::setEngine(const std::string &engine, EngineState state)
{
    for (const auto &[host, engines] : m_engines) {
        for (const auto &it : engines) {
            if (it->name().text() == engine) {
                it->setState(state);
                return;
            }
        }
    }
    throw std::invalid_argument("no engine \"" + engine + "\"");
}

void Simulation::drain(const std::string &target, bool draining)
{
    requireHost(target);
    auto next = std::make_shared<Configuration>(*m_configuration);
    ++next->revision;
    for (auto &it : next->targets) {
        if (it.name.text() == target) {
            it.state = draining ? ServingState::Draining : ServingState::InService;
        }
    }
    m_configuration = next;
    if (draining) {
        m_record.beginDrain(HostName {target}, m_queue.now());
    } else {
        m_record.endDrain(HostName {target});
    }
    configureAll();
}

void Simulation::setBlocked(const std::string &from, const std::string &to, bool blocked)
{
    requireHost(from);
    requireHost(to);
    m_network->setBlocked(HostName {from}, HostName {to}, blocked);
}

void Simulation::setReorderShare(double share)
{
    m_network->setReorderShare(share);
}

void Simulation::setHostList(const std::vector<ListedHost> &hosts)
{
    for (const auto &it : m_entries) {
        if (const auto entry = std::dynamic_pointer_cast<SimEntry>(process(it))) {
            entry->post({}, [entry, hosts] { entry->hostList(hosts); });
        }
    }
}

const SimRecord &Simulation::record() const
{
    return m_record;
}

std::vector<std::string> Simulation::violations(bool settled) const
{
    return m_record.violations(settled);
}

std::string Simulation::dump(const std::string &host) const
{
    requireHost(host);
    const auto it = process(host);
    return it ? it->dump() : std::string();
}

std::vector<std::string> Simulation::entries() const
{
    return m_entries;
}

std::vector<std::string> Simulation::targets() const
{
    return m_targets;
}

void Simulation::setEventLog(EventLog &events)
{
    m_events = &events;
}

Simulation::ProcessPtr Simulation::process(const std::string &host) const
{
    const auto it = m_processes.find(host);
    return it == m_processes.end() ? nullptr : it->second;
}

void Simulation::requireHost(const std::string &host) const
{
    if (m_regions.count(host) == 0) {
        throw std::invalid_argument("no host \"" + host + "\"");
    }
}

void Simulation::startProcess(const std::string &host)
{
    const auto started = makeProcess(host, peerOf(host, *m_random));
    m_processes[host] = started;
    started->post({}, [started, configuration = m_configuration] { started->configureIfNewer(configuration); });
    const auto engines = m_engines.find(host);
    for (const auto &it : engines == m_engines.end() ? NoEngines {} : engines->second) {
        it->setState(EngineState::Up);
        it->attach(std::dynamic_pointer_cast<SimEngineListener>(started));
    }
    m_network->add(started, regionOfHost(host));
}

Simulation::ProcessPtr Simulation::makeProcess(const std::string &host, const Peer &own)
{
    const auto offset = randomBelow(*m_random, std::chrono::hours(1000));
    if (m_engines.count(host) != 0) {
        TargetOptions options;
        options.own = own;
        return std::make_shared<SimTarget>(m_queue, *m_network, m_record, options, offset, m_engines[host], *m_events);
    }
    EntryOptions options;
    options.own = own;
    options.region = regionOfHost(host);
    const auto entry =
        std::make_shared<SimEntry>(m_queue, *m_network, m_store, m_record, *m_random, options, offset, *m_events);
    entry->start();
    return entry;
}

void Simulation::removeProcess(const std::string &host)
{
    const auto dead = m_processes.at(host);
    m_processes.erase(host);
    m_network->remove(dead);
    m_record.markConnectionsLost(dead->own().host);
}

void Simulation::configureAll()
{
    for (const auto &[host, it] : m_processes) {
        it->post(randomBelow(*m_random, maxConfigurationDelay),
                 [process = it, configuration = m_configuration] { process->configureIfNewer(configuration); });
    }
}

void Simulation::tickAll()
{
    m_queue.after(tickInterval, [this] { tickAll(); });
    ++m_ticks;
    for (const auto &[host, it] : m_processes) {
        it->post(randomBelow(*m_random, tickInterval / 10), [process = it] { process->tick(); });
        if (m_ticks % ticksPerHeartbeat != 0 || it->paused()) {
            continue;
        }
        for (const auto &[name, other] : m_processes) {
            const Heartbeat beat {it->own(), it->role(), m_ticks, m_configuration->revision, it->stopping()};
            m_network->send(it->own(), other->own(), beat);
        }
    }
    endIdleStopped();
}

void Simulation::endIdleStopped()
{
    std::vector<std::string> ended;
    for (const auto &[host, it] : m_processes) {
        if (it->stopping() && !it->paused() && it->idle()) {
            ended.push_back(host);
        }
    }
    for (const auto &it : ended) {
        kill(it);
    }
}

RegionName Simulation::regionOfHost(const std::string &host) const
{
    return RegionName {"region-" + std::to_string(m_regions.at(host) + 1)};
}

} // namespace monsoonward
