#pragma once

#include "simentry.h"
#include "simtarget.h"

namespace monsoonward
{

/// @brief A fleet that runs the real state machines in virtual time. The seed in its shape determines every run.
///
///     Simulation fleet;
///     fleet.start({});
///     fleet.send({"order-note", "entry-1"});
///     fleet.run(std::chrono::seconds(5));
///     CHECK(fleet.outcome("order-note").verdict == Verdict::Completed);
///     CHECK(fleet.violations(true).empty());
///
/// run() and the other calls throw when the state machines violate an invariant they assert.
class Simulation : public Fleet
{
public:
    Simulation();
    ~Simulation() override;

    void start(const FleetShape &shape) override;
    void run(Duration length) override;
    Duration now() const override;
    void send(const CallerRequest &request) override;
    void hangUp(const std::string &request) override;
    CallerOutcome outcome(const std::string &request) const override;
    unsigned runs(const std::string &request) const override;
    unsigned dispatches(const std::string &host) const override;
    bool alive(const std::string &host) const override;
    void kill(const std::string &host) override;
    void restart(const std::string &host) override;
    void pause(const std::string &host) override;
    void resume(const std::string &host) override;
    void stop(const std::string &host) override;
    void setLink(const std::string &from, const std::string &to, const LinkFault &fault) override;
    void setStore(StoreState state) override;
    void setEngine(const std::string &engine, EngineState state) override;
    void drain(const std::string &target, bool draining) override;

    /// Drops messages from @p from to @p to. The connection stays up, so neither side sees a disconnect.
    void setBlocked(const std::string &from, const std::string &to, bool blocked);
    /// Sets the share of messages (0 to 1) that may overtake earlier ones.
    void setReorderShare(double share);
    /// Sends the platform's host list to every entry.
    void setHostList(const std::vector<ListedHost> &hosts);
    const SimRecord &record() const;
    /// @return one line for each violated guarantee; empty when all hold
    /// @param settled whether every request must have its answer by now
    std::vector<std::string> violations(bool settled) const;
    /// @return the state of the host's process as JSON text; empty when no process runs there
    std::string dump(const std::string &host) const;
    std::vector<std::string> entries() const;
    std::vector<std::string> targets() const;
    /// Sets the log for events of daemons started from now on. @p events must outlive the fleet.
    void setEventLog(EventLog &events);

private:
    using ProcessPtr = std::shared_ptr<SimProcess>;

    ProcessPtr process(const std::string &host) const;
    void requireHost(const std::string &host) const;
    void startProcess(const std::string &host);
    ProcessPtr makeProcess(const std::string &host, const Peer &own);
    void removeProcess(const std::string &host);
    void configureAll();
    void tickAll();
    void endIdleStopped();
    RegionName regionOfHost(const std::string &host) const;

    FleetShape m_shape;
    EventQueue m_queue;
    TimePoint m_startedAt {};
    std::unique_ptr<SeededRandom> m_random;
    std::unique_ptr<SimNetwork> m_network;
    SimStore m_store;
    SimRecord m_record;
    NullEventLog m_noEvents;
    EventLog *m_events = &m_noEvents;
    std::shared_ptr<Configuration> m_configuration;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_targets;
    std::map<std::string, unsigned> m_regions;
    std::map<std::string, ProcessPtr> m_processes;
    std::map<std::string, std::vector<SimTarget::EnginePtr>> m_engines;
    std::uint64_t m_ticks = 0;
};

} // namespace monsoonward
