#include "simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

enum class StepKind {
    Send,
    SendKeyed,
    SendPoison,
    HangUp,
    Kill,
    Restart,
    Pause,
    Resume,
    Stop,
    Cut,
    Repair,
    LoseMessages,
    OneWay,
    StoreDown,
    StoreSlow,
    StoreUp,
    LoseStoreAnswer,
    LoseStoreCall,
    EngineCrash,
    EngineStall,
    EngineUp,
    Drain,
    Undrain,
    Wait,
};

/// One thing that happens to the fleet; the numbers choose among hosts and lengths.
struct Step
{
    StepKind kind = StepKind::Wait;
    unsigned a = 0;
    unsigned b = 0;
};

void showValue(const Step &step, std::ostream &out)
{
    out << static_cast<int>(step.kind) << ":" << step.a << ":" << step.b;
}

/// Applies steps to a fleet.
class Story
{
public:
    explicit Story(std::uint64_t seed)
    {
        FleetShape shape;
        shape.entries = 3;
        shape.targets = 4;
        shape.slots = 2;
        shape.regions = 2;
        shape.customers = 2;
        shape.seed = seed;
        m_fleet.start(shape);
        m_fleet.setReorder(0.1);
    }

    void apply(const Step &step)
    {
        const auto entry = pick(m_fleet.entries(), step.a);
        const auto target = pick(m_fleet.targets(), step.b);
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
            m_fleet.setOneWay(entry, target, false);
            m_fleet.setOneWay(target, entry, false);
            break;
        case StepKind::LoseMessages:
            m_fleet.setLink(entry, target, lossy());
            break;
        case StepKind::OneWay:
            m_fleet.setOneWay(step.a % 2 == 0 ? entry : target, step.a % 2 == 0 ? target : entry, true);
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
        m_fleet.run(std::chrono::milliseconds(step.b % 20));
    }

    /// Mends what can be mended and lets all requests end.
    void settle()
    {
        m_fleet.setStore(StoreState::Up);
        for (const auto &entry : m_fleet.entries()) {
            m_fleet.resume(entry);
            for (const auto &target : m_fleet.targets()) {
                apply({StepKind::Repair, 0, 0});
                m_fleet.setLink(entry, target, {});
                m_fleet.setOneWay(entry, target, false);
                m_fleet.setOneWay(target, entry, false);
            }
        }
        for (const auto &target : m_fleet.targets()) {
            m_fleet.resume(target);
            m_fleet.setEngine(target + ".engine-1", EngineState::Up);
        }
        m_fleet.run(60s);
    }

    const Simulation &fleet() const
    {
        return m_fleet;
    }

private:
    static const std::string &pick(const std::vector<std::string> &names, unsigned n)
    {
        return names[n % names.size()];
    }

    static LinkFault cut()
    {
        LinkFault fault;
        fault.cut = true;
        return fault;
    }

    static LinkFault lossy()
    {
        LinkFault fault;
        fault.delay = 20ms;
        fault.loss = 0.2;
        fault.duplicate = 0.2;
        return fault;
    }

    void send(const Step &step, const std::string &entry)
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

    Simulation m_fleet;
    unsigned m_sent = 0;
};

rc::Gen<Step> anyStep()
{
    const auto kind = rc::gen::weightedOneOf<StepKind>({
        {12, rc::gen::just(StepKind::Send)},
        {12, rc::gen::just(StepKind::SendKeyed)},
        {12,
         rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Wait) + 1),
                      [](int n) { return static_cast<StepKind>(n); })},
    });
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                rc::gen::set(&Step::a, rc::gen::inRange(0U, 6000U)),
                                rc::gen::set(&Step::b, rc::gen::inRange(0U, 6000U)));
}

std::string joined(const std::vector<std::string> &lines)
{
    std::ostringstream out;
    for (const auto &it : lines) {
        out << it << "\n";
    }
    return out.str();
}

} // namespace

TEST_CASE("the promises hold in random runs")
{
    const bool held = rc::check("promises", [](std::uint64_t seed) {
        const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
        Story story(seed);
        for (const auto &it : steps) {
            story.apply(it);
        }
        story.settle();
        const auto broken = joined(story.fleet().broken(true));
        RC_ASSERT(broken == std::string());
    });
    CHECK(held);
}
