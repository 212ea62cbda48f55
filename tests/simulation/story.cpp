#include "story.h"

namespace monsoonward
{

using namespace std::chrono_literals;

namespace
{

const std::vector<std::pair<StepKind, std::string>> stepNames = {
    {StepKind::Send, "send"},
    {StepKind::SendKeyed, "send-keyed"},
    {StepKind::SendPoison, "send-poison"},
    {StepKind::HangUp, "hang-up"},
    {StepKind::Kill, "kill"},
    {StepKind::Restart, "restart"},
    {StepKind::Pause, "pause"},
    {StepKind::Resume, "resume"},
    {StepKind::Stop, "stop"},
    {StepKind::Cut, "cut"},
    {StepKind::Repair, "repair"},
    {StepKind::LoseMessages, "lose-messages"},
    {StepKind::OneWay, "one-way"},
    {StepKind::StoreDown, "store-down"},
    {StepKind::StoreSlow, "store-slow"},
    {StepKind::StoreUp, "store-up"},
    {StepKind::LoseStoreAnswer, "lose-store-answer"},
    {StepKind::LoseStoreCall, "lose-store-call"},
    {StepKind::EngineCrash, "engine-crash"},
    {StepKind::EngineStall, "engine-stall"},
    {StepKind::EngineUp, "engine-up"},
    {StepKind::Drain, "drain"},
    {StepKind::Undrain, "undrain"},
    {StepKind::Wait, "wait"},
};

const std::string &pick(const std::vector<std::string> &names, unsigned n)
{
    return names[n % names.size()];
}

LinkFault cut()
{
    LinkFault fault;
    fault.cut = true;
    return fault;
}

LinkFault lossy()
{
    LinkFault fault;
    fault.delay = 20ms;
    fault.loss = 0.2;
    fault.duplicate = 0.2;
    return fault;
}

} // namespace

std::string textOf(StepKind kind)
{
    for (const auto &[it, name] : stepNames) {
        if (it == kind) {
            return name;
        }
    }
    return "unknown";
}

RandomScenario::RandomScenario(std::uint64_t seed)
{
    FleetShape shape;
    shape.entries = 3;
    shape.targets = 4;
    shape.slots = 2;
    shape.regions = 2;
    shape.customers = 2;
    shape.seed = seed;
    m_fleet.start(shape);
    m_fleet.setReorderShare(0.1);
}

void RandomScenario::apply(const Step &step)
{
    execute(step, pick(m_fleet.entries(), step.a), pick(m_fleet.targets(), step.b));
    m_fleet.run(std::chrono::milliseconds(step.b % 20));
}

void RandomScenario::execute(const Step &step, const std::string &entry, const std::string &target)
{
    const auto host = step.a % 2 == 0 ? entry : target;
    switch (step.kind) {
    case StepKind::Send:
    case StepKind::SendKeyed:
    case StepKind::SendPoison:
        send(step, entry);
        break;
    case StepKind::HangUp:
        if (m_sent != 0) {
            m_fleet.hangUp(std::to_string(step.a % m_sent));
        }
        break;
    case StepKind::Kill:
        m_fleet.kill(host);
        break;
    case StepKind::Restart:
        m_fleet.restart(host);
        break;
    case StepKind::Pause:
        m_fleet.pause(host);
        break;
    case StepKind::Resume:
        m_fleet.resume(host);
        break;
    case StepKind::Stop:
        m_fleet.stop(host);
        break;
    case StepKind::Cut:
        m_fleet.setLink(entry, target, cut());
        break;
    case StepKind::Repair:
        m_fleet.setLink(entry, target, {});
        m_fleet.setBlocked(entry, target, false);
        m_fleet.setBlocked(target, entry, false);
        break;
    case StepKind::LoseMessages:
        m_fleet.setLink(entry, target, lossy());
        break;
    case StepKind::OneWay:
        m_fleet.setBlocked(step.a % 2 == 0 ? entry : target, step.a % 2 == 0 ? target : entry, true);
        break;
    case StepKind::StoreDown:
        m_fleet.setStore(StoreState::Down);
        break;
    case StepKind::StoreSlow:
        m_fleet.setStore(StoreState::Slow);
        break;
    case StepKind::StoreUp:
        m_fleet.setStore(StoreState::Up);
        break;
    case StepKind::LoseStoreAnswer:
        m_fleet.setStore(StoreState::LoseNextAnswer);
        break;
    case StepKind::LoseStoreCall:
        m_fleet.setStore(StoreState::LoseNextCall);
        break;
    case StepKind::EngineCrash:
        m_fleet.setEngine(target + ".engine-1", EngineState::Crashed);
        break;
    case StepKind::EngineStall:
        m_fleet.setEngine(target + ".engine-1", EngineState::Stalled);
        break;
    case StepKind::EngineUp:
        m_fleet.setEngine(target + ".engine-1", EngineState::Up);
        break;
    case StepKind::Drain:
        m_fleet.drain(target, true);
        break;
    case StepKind::Undrain:
        m_fleet.drain(target, false);
        break;
    case StepKind::Wait:
        m_fleet.run(std::chrono::milliseconds(step.a % 3000));
        break;
    }
}

void RandomScenario::settle()
{
    m_fleet.setStore(StoreState::Up);
    for (const auto &entry : m_fleet.entries()) {
        m_fleet.resume(entry);
        for (const auto &target : m_fleet.targets()) {
            apply({StepKind::Repair, 0, 0});
            m_fleet.setLink(entry, target, {});
            m_fleet.setBlocked(entry, target, false);
            m_fleet.setBlocked(target, entry, false);
        }
    }
    for (const auto &target : m_fleet.targets()) {
        m_fleet.resume(target);
        m_fleet.setEngine(target + ".engine-1", EngineState::Up);
    }
    m_fleet.run(60s);
}

const Simulation &RandomScenario::fleet() const
{
    return m_fleet;
}

void RandomScenario::send(const Step &step, const std::string &entry)
{
    CallerRequest request;
    request.name = std::to_string(m_sent++);
    request.entry = entry;
    request.deadline = std::chrono::milliseconds(500 + step.b % 10000);
    request.customer = 1 + step.a % 2;
    request.tier = step.b % 3;
    request.outputTokens = step.b % 200;
    if (step.kind == StepKind::SendKeyed) {
        request.key = "key-" + std::to_string(step.b % 3);
        request.body = request.key;
    }
    if (step.kind == StepKind::SendPoison) {
        request.poison = true;
        request.body = "poison";
    }
    m_fleet.send(request);
}

} // namespace monsoonward
