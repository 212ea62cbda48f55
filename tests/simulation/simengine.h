#pragma once

#include "simprocess.h"
#include "simrecord.h"

namespace monsoonward
{

/// @brief What an engine tells the daemon that gave it a request.
class SimEngineListener
{
public:
    virtual ~SimEngineListener() = default;
    virtual void firstToken(const ClaimId &claim) = 0;
    /// @param whole false when the engine broke off
    virtual void finished(const ClaimId &claim, bool whole) = 0;
    virtual void foundRuns(const EngineName &engine, std::uint32_t running) = 0;
    virtual void engineUp(const EngineName &engine, bool up) = 0;
};

/// @brief An engine: admits requests as they arrive, runs them side by side, outlives the daemon beside it.
class SimEngine
{
public:
    using ListenerPtr = std::weak_ptr<SimEngineListener>;

    SimEngine(EventQueue &queue, SimRecord &record, const EngineName &name, const HostName &host);

    /// Another daemon runs beside it from now on.
    void attach(const ListenerPtr &listener);
    /// Called when a poison request has ended the engine.
    void onCrash(std::function<void(const HostName &)> function);
    void run(const ClaimId &claim, const RequestId &id, const CallerRequest &request);
    void cancel(const ClaimId &claim);
    void setState(EngineState state);
    const EngineName &name() const;
    std::uint32_t running() const;

private:
    struct Run
    {
        std::size_t record = 0;
        CallerRequest request;
        Duration left {};
        bool begun = false; // its first token was sent
        bool foreign = false; // given by a daemon that is gone
    };

    void step();
    void crash();
    void end(ClaimId claim, bool whole);
    void tellRuns();

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
