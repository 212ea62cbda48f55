#pragma once

#include "fleet.h"

#include <map>

namespace monsoonward
{

/// @brief One run of a request, as the engine saw it.
struct SimRun
{
    RequestId id;
    std::string request; ///< the caller's name for it
    HostName target;
    TimePoint at {};
    bool whole = false;
    MONSOONWARD_FIELDS(id, request, target, at, whole)
};

/// @brief One final answer that a caller got.
struct SimAnswer
{
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<RefusalReason> reason; ///< nothing for a whole answer
    std::string body;
    TimePoint at {};
    MONSOONWARD_FIELDS(verdict, reason, body, at)
};

/// @brief One request as it was sent, with all that became of it.
struct SimCall
{
    CallerRequest request;
    RequestId id;
    TimePoint sentAt {};
    bool connectionLost = false; ///< the entry died before it answered
    std::vector<SimAnswer> answers;
};

/// @brief What callers sent and got and what engines ran, and the promises checked against it.
class SimRecord
{
public:
    SimCall &add(const CallerRequest &request, TimePoint at);
    SimCall *find(const std::string &name);
    const SimCall *find(const std::string &name) const;
    SimCall *find(const RequestId &id);
    void setId(const std::string &name, const RequestId &id);
    /// The entry died: requests that it hasn't answered never get an answer.
    void entryDied(const HostName &host);
    std::size_t addRun(const RequestId &id, const HostName &target, TimePoint at);
    void endRun(std::size_t run);
    void drains(const HostName &target, TimePoint since);
    void serves(const HostName &target);

    const std::map<std::string, SimCall> &calls() const;
    const std::vector<SimRun> &runs() const;
    unsigned runsOf(const std::string &name) const;
    /// @return the body of the whole answer to the request
    static std::string answerTo(const RequestId &id);

    /// @return one line for each promise that was broken; empty when all hold
    /// @param settled whether every request should have its answer by now
    std::vector<std::string> broken(bool settled) const;

private:
    void checkRuns(std::vector<std::string> &broken) const;
    void checkAnswers(const SimCall &call, bool settled, std::vector<std::string> &broken) const;

    std::map<std::string, SimCall> m_calls;
    std::map<RequestId, std::string> m_names;
    std::vector<SimRun> m_runs;
    std::map<HostName, TimePoint> m_drainingSince;
    std::vector<std::string> m_lateDispatches;
};

} // namespace monsoonward
