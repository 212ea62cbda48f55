#pragma once

#include <monsoonward/values/values.h>

#include <optional>
#include <string>
#include <vector>

/// The interface through which a scenario controls and inspects a fleet. Hosts are named "entry-1", "entry-2", ... and
/// "target-1", ...; the engines on target-1 are named "target-1.engine-1", .... All times are virtual.
namespace monsoonward
{

/// @brief Size and settings of a fleet. Hosts are assigned to the regions round-robin.
struct FleetShape
{
    unsigned entries = 2;
    unsigned targets = 2;
    unsigned enginesPerTarget = 1;
    unsigned slots = 4; ///< requests that an engine runs at once
    unsigned regions = 1;
    unsigned tiers = 3;
    unsigned customers = 1;
    std::uint64_t seed = 1;
    bool checksFencing = true;
    MONSOONWARD_FIELDS(entries, targets, enginesPerTarget, slots, regions, tiers, customers, seed, checksFencing)
};

/// @brief One request as a caller sends it.
struct CallerRequest
{
    std::string name; ///< unique in the scenario
    std::string entry; ///< host that receives the request
    unsigned customer = 1;
    unsigned tier = 0;
    Duration deadline = std::chrono::seconds(30);
    std::string key; ///< idempotency key; makes the request non-idempotent
    std::string body; ///< equal bodies have equal fingerprints; empty: the name
    unsigned promptTokens = 100;
    unsigned outputTokens = 20;
    bool poison = false; ///< crashes each engine that runs it, and the target daemon on its host
    MONSOONWARD_FIELDS(name, entry, customer, tier, deadline, key, body, promptTokens, outputTokens, poison)
};

/// @brief What the caller has received so far.
struct CallerOutcome
{
    bool ended = false;
    unsigned answers = 0; ///< final answers; more than one is a fault
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<RefusalReason> reason; ///< empty for a complete answer
    bool own = true; ///< whether every byte of the answer belongs to this request
    Duration took {};
    MONSOONWARD_FIELDS(ended, answers, verdict, reason, own, took)
};

/// @brief Faults of the link between two hosts, in both directions.
struct LinkFault
{
    bool cut = false;
    Duration delay {}; ///< added to the normal delay
    double loss = 0; ///< share of messages lost, 0 to 1
    double duplicate = 0; ///< share of messages delivered twice, 0 to 1
    MONSOONWARD_FIELDS(cut, delay, loss, duplicate)
};

enum class StoreState {
    Up,
    Down,
    Slow, ///< answers after two seconds
    LoseNextAnswer, ///< the next write takes effect but its answer is lost
    LoseNextCall, ///< the next write has no effect and gets no answer
};

enum class EngineState {
    Up,
    Stalled, ///< accepts requests but produces no output
    Slow, ///< runs at a tenth of its normal speed
    Crashed, ///< ends all running requests without a complete answer; new ones fail at once
};

/// @brief A fleet in virtual time. Methods throw std::invalid_argument for unknown names.
class Fleet
{
public:
    virtual ~Fleet() = default;

    virtual void start(const FleetShape &shape) = 0;
    /// Advances virtual time by @p length.
    virtual void run(Duration length) = 0;
    virtual Duration now() const = 0;

    virtual void send(const CallerRequest &request) = 0;
    /// The caller disconnects.
    virtual void hangUp(const std::string &request) = 0;
    virtual CallerOutcome outcome(const std::string &request) const = 0;
    /// @return how many times an engine started to run the request
    virtual unsigned runs(const std::string &request) const = 0;
    /// @return how many requests the host has dispatched to its engines since the fleet was started
    virtual unsigned dispatches(const std::string &host) const = 0;
    /// @return whether a process runs on the host
    virtual bool alive(const std::string &host) const = 0;

    /// Kills the process at once; all its state is lost.
    virtual void kill(const std::string &host) = 0;
    /// Starts a new incarnation on the host; a process that still runs there is killed first.
    virtual void restart(const std::string &host) = 0;
    /// Suspends the process; its clock goes on.
    virtual void pause(const std::string &host) = 0;
    virtual void resume(const std::string &host) = 0;
    /// Starts a graceful shutdown, as SIGTERM does.
    virtual void stop(const std::string &host) = 0;
    virtual void setLink(const std::string &from, const std::string &to, const LinkFault &fault) = 0;
    virtual void setStore(StoreState state) = 0;
    virtual void setEngine(const std::string &engine, EngineState state) = 0;
    /// Sets the serving state of a target ("target-1") as a confirmed operator plan does.
    virtual void drain(const std::string &target, bool draining) = 0;
};

} // namespace monsoonward
