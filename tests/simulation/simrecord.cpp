#include "simrecord.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration maxDispatchDelayAfterDrain = std::chrono::seconds(3);

} // namespace

SimCall &SimRecord::add(const CallerRequest &request, TimePoint at)
{
    auto &call = m_calls[request.name];
    call.request = request;
    call.sentAt = at;
    return call;
}

SimCall *SimRecord::find(const std::string &name)
{
    const auto it = m_calls.find(name);
    return it == m_calls.end() ? nullptr : &it->second;
}

const SimCall *SimRecord::find(const std::string &name) const
{
    const auto it = m_calls.find(name);
    return it == m_calls.end() ? nullptr : &it->second;
}

SimCall *SimRecord::find(const RequestId &id)
{
    const auto it = m_names.find(id);
    return it == m_names.end() ? nullptr : &m_calls.at(it->second);
}

void SimRecord::setId(const std::string &name, const RequestId &id)
{
    m_calls.at(name).id = id;
    m_names[id] = name;
}

void SimRecord::markConnectionsLost(const HostName &host)
{
    for (auto &[name, call] : m_calls) {
        if (call.request.entry == host.text() && call.answers.empty()) {
            call.connectionLost = true;
        }
    }
}

std::size_t SimRecord::addRun(const RequestId &id, const HostName &target, TimePoint at)
{
    const auto draining = m_drainingSince.find(target);
    if (draining != m_drainingSince.end() && at - draining->second > maxDispatchDelayAfterDrain) {
        m_dispatchesWhileDraining.push_back(target.text() + " was draining and was given " + m_names[id]);
    }
    m_runs.push_back({id, m_names[id], target, at, false});
    return m_runs.size() - 1;
}

void SimRecord::markRunCompleted(std::size_t run)
{
    m_runs[run].completed = true;
}

void SimRecord::beginDrain(const HostName &target, TimePoint since)
{
    m_drainingSince.emplace(target, since);
}

void SimRecord::endDrain(const HostName &target)
{
    m_drainingSince.erase(target);
}

const std::map<std::string, SimCall> &SimRecord::calls() const
{
    return m_calls;
}

const std::vector<SimRun> &SimRecord::runs() const
{
    return m_runs;
}

unsigned SimRecord::runsOf(const std::string &name) const
{
    const auto n = std::count_if(m_runs.begin(), m_runs.end(), [&](const SimRun &it) { return it.request == name; });
    return static_cast<unsigned>(n);
}

std::string SimRecord::expectedBody(const RequestId &id)
{
    return "answer to " + textOf(id);
}

std::vector<std::string> SimRecord::violations(bool settled) const
{
    auto violations = m_dispatchesWhileDraining;
    checkRuns(violations);
    for (const auto &[name, call] : m_calls) {
        checkAnswers(call, settled, violations);
    }
    return violations;
}

void SimRecord::checkRuns(std::vector<std::string> &violations) const
{
    std::map<RequestId, unsigned> byId;
    std::map<std::string, unsigned> byKey;
    for (const auto &it : m_runs) {
        if (++byId[it.id] == 2) {
            violations.push_back(it.request + " was dispatched twice");
        }
        const auto &request = m_calls.at(it.request).request;
        if (!request.key.empty() && ++byKey[std::to_string(request.customer) + "/" + request.key] == 2) {
            violations.push_back("key " + request.key + " ran twice, the second time as " + it.request);
        }
    }
}

void SimRecord::checkAnswers(const SimCall &call, bool settled, std::vector<std::string> &violations) const
{
    const auto &name = call.request.name;
    if (call.answers.size() > 1) {
        violations.push_back(name + " got " + std::to_string(call.answers.size()) + " final answers");
    }
    if (settled && call.answers.empty() && !call.connectionLost) {
        violations.push_back(name + " got no answer");
    }
    for (const auto &it : call.answers) {
        if (it.verdict == Verdict::NotRun && runsOf(name) != 0) {
            violations.push_back(name + " was told not-run and ran");
        }
        if (!it.reason && it.body != expectedBody(call.id)) {
            violations.push_back(name + " got \"" + it.body + "\"");
        }
    }
}

} // namespace monsoonward
