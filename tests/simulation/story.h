#pragma once

#include "simulation.h"

/// Random runs: steps that happen to a fleet, and what must hold after them.
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

/// @brief One thing that happens to the fleet; the numbers choose among hosts and lengths.
struct Step
{
    StepKind kind = StepKind::Wait;
    unsigned a = 0;
    unsigned b = 0;
};

/// @brief Applies steps to a fleet of three entries and four targets in two regions.
class Story
{
public:
    explicit Story(std::uint64_t seed);

    void apply(const Step &step);
    /// Mends what can be mended and lets all requests end.
    void settle();
    const Simulation &fleet() const;

private:
    void act(const Step &step, const std::string &entry, const std::string &target);
    void send(const Step &step, const std::string &entry);

    Simulation m_fleet;
    unsigned m_sent = 0;
};

} // namespace monsoonward
