#pragma once

#include "fleet.h"

#include <map>

namespace monsoonward
{

/// @brief One run of a request on an engine.
struct SimRun
{
    RequestId id;
    std::string request; ///< name of the request in the test
    HostName target;
    TimePoint at {};
    bool completed = false;
    MONSOONWARD_FIELDS(id, request, target, at, completed)
};

/// @brief One final answer that a caller received.
struct SimAnswer
{
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<RefusalReason> reason; ///< empty for a complete answer
    std::string body;
    TimePoint at {};
    MONSOONWARD_FIELDS(verdict, reason, body, at)
};

/// @brief One request and the answers its caller received.
struct SimCall
{
    CallerRequest request;
    RequestId id;
    TimePoint sentAt {};
    bool connectionLost = false; ///< the entry died before it answered
    std::vector<SimAnswer> answers;
};

/// @brief Records requests, answers and engine runs, and checks the guarantees to callers against them.
class SimRecord
{
public:
    SimCall &add(const CallerRequest &request, TimePoint at);
    SimCall *find(const std::string &name);
    const SimCall *find(const std::string &name) const;
    SimCall *find(const RequestId &id);
    void setId(const std::string &name, const RequestId &id);
    /// Marks all unanswered requests to a dead entry: their callers lost the connection and get no answer.
    void markConnectionsLost(const HostName &host);
    std::size_t addRun(const RequestId &id, const HostName &target, TimePoint at);
    void markRunCompleted(std::size_t run);
    void beginDrain(const HostName &target, TimePoint since);
    void endDrain(const HostName &target);

    const std::map<std::string, SimCall> &calls() const;
    const std::vector<SimRun> &runs() const;
    unsigned runsOf(const std::string &name) const;
    /// @return the body of the complete answer to the request
    static std::string expectedBody(const RequestId &id);

    /// @return one line for each violated guarantee; empty when all hold
    /// @param settled whether every request must have its answer by now
    std::vector<std::string> violations(bool settled) const;

private:
    void checkRuns(std::vector<std::string> &violations) const;
    void checkAnswers(const SimCall &call, bool settled, std::vector<std::string> &violations) const;

    std::map<std::string, SimCall> m_calls;
    std::map<RequestId, std::string> m_names;
    std::vector<SimRun> m_runs;
    std::map<HostName, TimePoint> m_drainingSince;
    std::vector<std::string> m_dispatchesWhileDraining;
};

} // namespace monsoonward
