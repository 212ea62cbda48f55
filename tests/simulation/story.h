#pragma once

#include "simulation.h"

/// Steps and faults that the random tests apply to a fleet.
namespace monsoonward
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

/// @return the kind's name, such as "store-down"
std::string textOf(StepKind kind);

/// @brief One step; the numbers select hosts, durations and sizes.
struct Step
{
    StepKind kind = StepKind::Wait;
    unsigned a = 0;
    unsigned b = 0;
};

/// @brief Applies steps to a fleet of three entries and four targets in two regions.
class RandomScenario
{
public:
    explicit RandomScenario(std::uint64_t seed);

    void apply(const Step &step);
    /// Removes all faults that can be removed and runs until every request has ended.
    void settle();
    const Simulation &fleet() const;

private:
    void execute(const Step &step, const std::string &entry, const std::string &target);
    void send(const Step &step, const std::string &entry);

    Simulation m_fleet;
    unsigned m_sent = 0;
};

} // namespace monsoonward
