#pragma once

#include <monsoonward/values/values.h>

#include <optional>
#include <string>
#include <vector>

/// What a scenario can do to a fleet and ask of it. Hosts are named "entry-1", "entry-2", ..., "target-1", ...; the
/// engines beside target-1 are "target-1.engine-1", .... All times are virtual.
namespace monsoonward
{

/// @brief Size of a fleet; hosts are spread over the regions in turn.
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
    std::string entry; ///< host that the caller asks
    unsigned customer = 1;
    unsigned tier = 0;
    Duration deadline = std::chrono::seconds(30);
    std::string key; ///< idempotency key; makes the request non-idempotent
    std::string body; ///< equal bodies have equal fingerprints; empty: the name
    unsigned promptTokens = 100;
    unsigned outputTokens = 20;
    bool poison = false; ///< crashes each engine that runs it, and the target daemon beside it
    MONSOONWARD_FIELDS(name, entry, customer, tier, deadline, key, body, promptTokens, outputTokens, poison)
};

/// @brief What the caller got, so far.
struct CallerOutcome
{
    bool ended = false;
    unsigned answers = 0; ///< final answers; more than one is a fault
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<RefusalReason> reason; ///< nothing for a whole answer
    bool own = true; ///< whether each byte of the answer belongs to this request
    Duration took {};
    MONSOONWARD_FIELDS(ended, answers, verdict, reason, own, took)
};

/// @brief What the link between two hosts does to messages, each way unless stated otherwise.
struct LinkFault
{
    bool cut = false;
    Duration delay {}; ///< added to the link's own
    double loss = 0; ///< share of messages lost, 0 to 1
    double duplicate = 0; ///< share of messages that come twice, 0 to 1
    MONSOONWARD_FIELDS(cut, delay, loss, duplicate)
};

enum class StoreState {
    Up,
    Down,
    Slow, ///< answers after two seconds
    LoseNextAnswer, ///< the next write takes effect, its answer is lost
    LoseNextCall, ///< the next write has no effect, its answer is lost
};

enum class EngineState {
    Up,
    Stalled, ///< accepts requests and emits nothing
    Slow, ///< a tenth of its speed
    Crashed, ///< drops all that it runs; refuses new requests
};

/// @brief A fleet in virtual time. Methods throw std::invalid_argument for unknown names.
class Fleet
{
public:
    virtual ~Fleet() = default;

    virtual void start(const FleetShape &shape) = 0;
    /// Lets virtual time pass.
    virtual void run(Duration length) = 0;
    virtual Duration now() const = 0;

    virtual void send(const CallerRequest &request) = 0;
    /// The caller disconnects.
    virtual void hangUp(const std::string &request) = 0;
    virtual CallerOutcome outcome(const std::string &request) const = 0;
    /// @return how often an engine began to run the request
    virtual unsigned runs(const std::string &request) const = 0;
    /// @return how often the host gave a request to an engine, since the start of the fleet
    virtual unsigned dispatches(const std::string &host) const = 0;
    /// @return whether the host's process is there
    virtual bool alive(const std::string &host) const = 0;

    /// The process dies at once, with all that it holds.
    virtual void kill(const std::string &host) = 0;
    /// A new incarnation starts on the host.
    virtual void restart(const std::string &host) = 0;
    /// The process stands still, its clock does not.
    virtual void pause(const std::string &host) = 0;
    virtual void resume(const std::string &host) = 0;
    /// Planned stop: as SIGTERM.
    virtual void stop(const std::string &host) = 0;
    virtual void setLink(const std::string &from, const std::string &to, const LinkFault &fault) = 0;
    virtual void setStore(StoreState state) = 0;
    virtual void setEngine(const std::string &engine, EngineState state) = 0;
    /// An operator plans and confirms another serving state of a target ("target-1").
    virtual void drain(const std::string &target, bool draining) = 0;
};

} // namespace monsoonward
