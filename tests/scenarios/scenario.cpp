#include "scenario.h"

#include "arguments.h"
#include "interpreter.h"

#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

namespace monsoonward
{

namespace
{

/// @return the value that the scenario language calls @p word
template<class T>
T valueOf(const std::map<std::string, T> &valuesByName, const std::string &word, const std::string &what)
{
    const auto it = valuesByName.find(word);
    if (it != valuesByName.end()) {
        return it->second;
    }
    std::string allowed;
    for (const auto &[name, value] : valuesByName) {
        allowed += (allowed.empty() ? "\"" : ", \"") + name + "\"";
    }
    throw std::invalid_argument(what + " \"" + word + "\" is not one of " + allowed);
}

const std::map<std::string, Verdict> verdictsByName = {
    {"not-run", Verdict::NotRun}, {"may-have-run", Verdict::MayHaveRun}, {"completed", Verdict::Completed}};
const std::map<std::string, StoreState> storeStatesByName = {{"up", StoreState::Up},
                                                             {"down", StoreState::Down},
                                                             {"slow", StoreState::Slow},
                                                             {"lose-next-answer", StoreState::LoseNextAnswer},
                                                             {"lose-next-call", StoreState::LoseNextCall}};
const std::map<std::string, EngineState> engineStatesByName = {{"up", EngineState::Up},
                                                               {"stalled", EngineState::Stalled},
                                                               {"slow", EngineState::Slow},
                                                               {"crashed", EngineState::Crashed}};

std::string textOf(const CallerOutcome &outcome)
{
    if (!outcome.ended) {
        return "still waiting";
    }
    auto text = monsoonward::textOf(outcome.verdict);
    if (outcome.reason) {
        text += " (" + monsoonward::textOf(*outcome.reason) + ")";
    }
    return text;
}

std::string quote(const std::string &text)
{
    return "\"" + text + "\"";
}

class Scenario
{
public:
    explicit Scenario(const FleetFactory &makeFleet)
        : m_makeFleet(makeFleet)
    {
        addFleetSteps();
        addFaultSteps();
        addExpectations();
    }

    ScenarioReport run(const std::string &name, const std::string &text)
    {
        const auto error = m_interpreter.run(name, text);
        m_report.error = error;
        m_report.passed = error.empty();
        if (error.empty() && m_report.expectations == 0) {
            m_report.passed = false;
            m_report.error = name + ":0: the scenario expects nothing";
        }
        return m_report;
    }

private:
    Fleet &fleet()
    {
        if (!m_fleet) {
            throw std::invalid_argument("the first step must be fleet { ... }");
        }
        return *m_fleet;
    }

    void log(const std::string &line)
    {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(fleet().now()).count();
        m_report.log.push_back(std::to_string(at) + " ms: " + line);
    }

    void expect(bool holds, const std::string &what)
    {
        ++m_report.expectations;
        log((holds ? "holds: " : "FAILS: ") + what);
        if (!holds) {
            throw std::runtime_error("expected " + what);
        }
    }

    void addFleetSteps();
    void addFaultSteps();
    void addExpectations();
    void addHostStep(const char *name, void (Fleet::*method)(const std::string &));
    void send(lua_State *lua);
    void expectOutcome(lua_State *lua);
    void checkGuarantees();

    const FleetFactory &m_makeFleet;
    std::unique_ptr<Fleet> m_fleet;
    std::map<std::string, CallerRequest> m_requests;
    ScenarioReport m_report;
    Interpreter m_interpreter;
};

void Scenario::addFleetSteps()
{
    m_interpreter.addStep("fleet", [this](lua_State *lua) {
        if (m_fleet) {
            throw std::invalid_argument("fleet may be started once");
        }
        FleetShape shape;
        arguments::Fields fields(lua, "fleet");
        fields.read("entries", shape.entries);
        fields.read("targets", shape.targets);
        fields.read("engines", shape.enginesPerTarget);
        fields.read("slots", shape.slots);
        fields.read("regions", shape.regions);
        fields.read("tiers", shape.tiers);
        fields.read("customers", shape.customers);
        fields.read("seed", shape.seed);
        fields.read("checksFencing", shape.checksFencing);
        fields.finish();
        m_fleet = m_makeFleet();
        m_fleet->start(shape);
        log("fleet started");
        return 0;
    });
    m_interpreter.addStep("run", [this](lua_State *lua) {
        const auto length = arguments::duration(lua, 1, "run");
        fleet().run(length);
        checkGuarantees();
        return 0;
    });
    m_interpreter.addStep("note", [this](lua_State *lua) {
        log(arguments::text(lua, 1, "note"));
        return 0;
    });
    m_interpreter.addStep("send", [this](lua_State *lua) {
        send(lua);
        return 0;
    });
    m_interpreter.addStep("hangUp", [this](lua_State *lua) {
        const auto request = arguments::text(lua, 1, "hangUp");
        log("hangUp " + request);
        fleet().hangUp(request);
        return 0;
    });
}

void Scenario::send(lua_State *lua)
{
    CallerRequest request;
    arguments::Fields fields(lua, "send");
    fields.read("name", request.name);
    fields.read("entry", request.entry);
    fields.read("customer", request.customer);
    fields.read("tier", request.tier);
    fields.read("deadline", request.deadline);
    fields.read("key", request.key);
    fields.read("body", request.body);
    fields.read("prompt", request.promptTokens);
    fields.read("output", request.outputTokens);
    fields.read("poison", request.poison);
    fields.finish();
    if (request.name.empty() || request.entry.empty()) {
        throw std::invalid_argument("send needs name and entry");
    }
    if (!m_requests.emplace(request.name, request).second) {
        throw std::invalid_argument("send: a request named " + quote(request.name) + " was sent before");
    }
    log("send " + request.name + " to " + request.entry);
    fleet().send(request);
}

void Scenario::addHostStep(const char *name, void (Fleet::*method)(const std::string &))
{
    m_interpreter.addStep(name, [this, name, method](lua_State *lua) {
        const auto host = arguments::text(lua, 1, name);
        log(std::string(name) + " " + host);
        (fleet().*method)(host);
        return 0;
    });
}

void Scenario::addFaultSteps()
{
    addHostStep("kill", &Fleet::kill);
    addHostStep("restart", &Fleet::restart);
    addHostStep("pause", &Fleet::pause);
    addHostStep("resume", &Fleet::resume);
    addHostStep("stop", &Fleet::stop);
    m_interpreter.addStep("link", [this](lua_State *lua) {
        std::string from;
        std::string to;
        LinkFault fault;
        arguments::Fields fields(lua, "link");
        fields.read("from", from);
        fields.read("to", to);
        fields.read("cut", fault.cut);
        fields.read("delay", fault.delay);
        fields.read("loss", fault.loss);
        fields.read("duplicate", fault.duplicate);
        fields.finish();
        log("link " + from + " to " + to + (fault.cut ? " cut" : ""));
        fleet().setLink(from, to, fault);
        return 0;
    });
    m_interpreter.addStep("store", [this](lua_State *lua) {
        const auto word = arguments::text(lua, 1, "store");
        log("store " + word);
        fleet().setStore(valueOf(storeStatesByName, word, "store"));
        return 0;
    });
    m_interpreter.addStep("engine", [this](lua_State *lua) {
        const auto engine = arguments::text(lua, 1, "engine");
        const auto word = arguments::text(lua, 2, "engine");
        log("engine " + engine + " " + word);
        fleet().setEngine(engine, valueOf(engineStatesByName, word, "engine"));
        return 0;
    });
    m_interpreter.addStep("drain", [this](lua_State *lua) {
        const auto target = arguments::text(lua, 1, "drain");
        log("drain " + target);
        fleet().drain(target, true);
        return 0;
    });
    m_interpreter.addStep("undrain", [this](lua_State *lua) {
        const auto target = arguments::text(lua, 1, "undrain");
        log("undrain " + target);
        fleet().drain(target, false);
        return 0;
    });
}

void Scenario::addExpectations()
{
    m_interpreter.addStep("expect", [this](lua_State *lua) {
        expectOutcome(lua);
        return 0;
    });
    m_interpreter.addStep("expectRuns", [this](lua_State *lua) {
        const auto request = arguments::text(lua, 1, "expectRuns");
        const auto min = arguments::count(lua, 2, "expectRuns: least");
        const auto max = lua_gettop(lua) > 2 ? arguments::count(lua, 3, "expectRuns: most") : min;
        const auto runs = fleet().runs(request);
        const auto expected = std::to_string(min) + (max == min ? "" : " to " + std::to_string(max));
        expect(runs >= min && runs <= max,
               request + " to run " + expected + " times; it ran " + std::to_string(runs) + " times");
        return 0;
    });
    m_interpreter.addStep("expectAlive", [this](lua_State *lua) {
        const auto host = arguments::text(lua, 1, "expectAlive");
        expect(fleet().alive(host), host + " to be alive");
        return 0;
    });
    m_interpreter.addStep("expectGone", [this](lua_State *lua) {
        const auto host = arguments::text(lua, 1, "expectGone");
        expect(!fleet().alive(host), host + " to be gone");
        return 0;
    });
    m_interpreter.addStep("expectGoodput", [this](lua_State *lua) {
        const auto tier = arguments::count(lua, 1, "expectGoodput: tier");
        const auto min = arguments::share(lua, 2, "expectGoodput: least");
        unsigned sent = 0;
        unsigned withinDeadline = 0;
        for (const auto &[name, request] : m_requests) {
            if (request.tier == tier) {
                const auto outcome = fleet().outcome(name);
                ++sent;
                withinDeadline +=
                    outcome.ended && outcome.verdict == Verdict::Completed && outcome.took <= request.deadline;
            }
        }
        expect(sent > 0 && withinDeadline >= min * sent,
               std::to_string(withinDeadline) + " of " + std::to_string(sent) + " requests of tier "
                   + std::to_string(tier) + " within their deadline to be a share of at least " + std::to_string(min));
        return 0;
    });
    m_interpreter.addStep("dispatches", [this](lua_State *lua) {
        lua_pushinteger(lua, fleet().dispatches(arguments::text(lua, 1, "dispatches")));
        return 1;
    });
    m_interpreter.addStep("verdict", [this](lua_State *lua) {
        const auto outcome = fleet().outcome(arguments::text(lua, 1, "verdict"));
        lua_pushstring(lua, outcome.ended ? monsoonward::textOf(outcome.verdict).c_str() : "waiting");
        return 1;
    });
    m_interpreter.addStep("reason", [this](lua_State *lua) {
        const auto outcome = fleet().outcome(arguments::text(lua, 1, "reason"));
        lua_pushstring(lua, outcome.reason ? monsoonward::textOf(*outcome.reason).c_str() : "");
        return 1;
    });
    m_interpreter.addStep("runs", [this](lua_State *lua) {
        lua_pushinteger(lua, fleet().runs(arguments::text(lua, 1, "runs")));
        return 1;
    });
    m_interpreter.addStep("check", [this](lua_State *lua) {
        expect(lua_isboolean(lua, 1) && lua_toboolean(lua, 1) != 0, arguments::text(lua, 2, "check: what"));
        return 0;
    });
}

void Scenario::expectOutcome(lua_State *lua)
{
    const auto request = arguments::text(lua, 1, "expect");
    const auto word = arguments::text(lua, 2, "expect");
    const auto outcome = fleet().outcome(request);
    const auto actual = "; it is " + textOf(outcome);
    if (word == "ended" || word == "waiting") {
        expect(outcome.ended == (word == "ended"), request + " to be " + word + actual);
        return;
    }
    const auto verdict = valueOf(verdictsByName, word, "expect");
    auto holds = outcome.ended && outcome.verdict == verdict;
    auto expected = word;
    if (lua_gettop(lua) > 2) {
        const auto reason = arguments::text(lua, 3, "expect: reason");
        holds = holds && outcome.reason && monsoonward::textOf(*outcome.reason) == reason;
        expected += " (" + reason + ")";
    }
    expect(holds, request + " to be " + expected + actual);
}

/// Checks the guarantees that hold for every request at any time; run after each step `run`.
void Scenario::checkGuarantees()
{
    for (const auto &[name, request] : m_requests) {
        const auto outcome = fleet().outcome(name);
        const auto runs = fleet().runs(name);
        const auto require = [&name = name](bool holds, const std::string &what) {
            if (!holds) {
                std::string text = name;
                text += " ";
                text += what;
                throw std::runtime_error(text);
            }
        };
        const auto verdict = outcome.ended ? outcome.verdict : Verdict::MayHaveRun;
        require(outcome.answers <= 1, "got more than one final answer");
        require(outcome.own, "got bytes of another request's answer");
        require(runs <= 1, "was dispatched " + std::to_string(runs) + " times");
        require(verdict != Verdict::NotRun || runs == 0, "was told \"not-run\" but ran");
        require(verdict != Verdict::Completed || outcome.reason || runs > 0, "was told \"completed\" but did not run");
    }
}

} // namespace

ScenarioReport runScenario(const std::string &name, const std::string &text, const FleetFactory &makeFleet)
{
    return Scenario(makeFleet).run(name, text);
}

ScenarioReport runScenarioFile(const std::string &path, const FleetFactory &makeFleet)
{
    const auto slash = path.rfind('/');
    const auto name = slash == std::string::npos ? path : path.substr(slash + 1);
    std::ifstream file(path);
    if (!file) {
        ScenarioReport report;
        report.error = path + ":0: can't be read";
        return report;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return runScenario(name, text.str(), makeFleet);
}

} // namespace monsoonward
