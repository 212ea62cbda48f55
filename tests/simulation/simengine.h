#pragma once

#include "simprocess.h"
#include "simrecord.h"

namespace monsoonward
{

/// @brief Receives an engine's notifications; implemented by the target daemon on the same host.
class SimEngineListener
{
public:
    virtual ~SimEngineListener() = default;
    virtual void firstToken(const ClaimId &claim) = 0;
    /// @param completed false when the engine stopped before the answer was complete
    virtual void finished(const ClaimId &claim, bool completed) = 0;
    /// @param running runs in progress that an earlier daemon process dispatched
    virtual void inheritedRuns(const EngineName &engine, std::uint32_t running) = 0;
    virtual void engineUp(const EngineName &engine, bool up) = 0;
};

/// @brief A simulated engine. It starts each request on arrival, runs all of them concurrently and keeps running when
/// the target daemon on its host dies.
class SimEngine
{
public:
    using ListenerPtr = std::weak_ptr<SimEngineListener>;

    SimEngine(EventQueue &queue, SimRecord &record, const EngineName &name, const HostName &host);

    /// Sets the daemon to notify after a daemon start. Runs in progress become inherited: the new daemon did not
    /// dispatch them.
    void attach(const ListenerPtr &listener);
    /// Sets the function that is called when a poison request has crashed the engine.
    void onCrash(std::function<void(const HostName &)> function);
    void run(const ClaimId &claim, const RequestId &id, const CallerRequest &request);
    void cancel(const ClaimId &claim);
    void setState(EngineState state);
    const EngineName &name() const;
    std::uint32_t running() const;

private:
    struct Run
    {
        std::size_t recordIndex = 0;
        CallerRequest request;
        Duration remaining {};
        bool firstTokenSent = false;
        bool inherited = false; // dispatched by an earlier daemon process
    };

    void step();
    void failAllRuns();
    /// Takes the claim by value: callers pass keys of m_runs, which it erases.
    void finishRun(ClaimId claim, bool completed);
    void reportInheritedRuns();

    EventQueue &m_queue;
    SimRecord &m_record;
    EngineName m_name;
    HostName m_host;
    EngineState m_state = EngineState::Up;
    std::map<ClaimId, Run> m_runs;
    ListenerPtr m_listener;
    std::function<void(const HostName &)> m_onCrash;
};

} // namespace monsoonward
