#pragma once

#include "enginespeed.h"
#include "estimator.h"
#include "monsoonward/policy/targetpolicy.h"
#include "prefixindex.h"

#include <unordered_map>

namespace monsoonward
{

/// @brief What requests of one tier typically need at this target.
struct TierNeed
{
    Tier tier;
    double promptTokens = 0;
    double outputTokens = 0;
    double seconds = 0; ///< from the reservation to the deadline
    TimePoint lastSeen {};
};

/// @brief A request that may be placed on an engine.
struct Candidate
{
    const Reserve &reserve;
    TimePoint deadline {};
    double outputTokens = 0; ///< estimate
    std::uint32_t cachedTokens = 0; ///< on the engine asked about, a guess
};

/// @brief Decides how much one engine gets at once. It has no fixed number of slots: a request is placed when it should
/// finish in time, when those on the engine that are as urgent still should, and when a typical request of each higher
/// tier that came now still could.
class SlotController
{
public:
    SlotController(const Clock &clock, const OutputEstimator &outputs);

    void configure(const EngineSpec &spec);
    void setUp(bool up);
    void setFound(std::uint32_t running);
    bool isUp() const;

    /// @param needs of the tiers seen lately
    /// @return whether @p candidate may be placed now
    bool fits(const Candidate &candidate, const std::vector<TierNeed> &needs) const;
    /// @return seconds until @p candidate would be finished, were it placed now
    double secondsToFinish(const Candidate &candidate) const;

    void place(const Candidate &candidate);
    void onClaimReleased(const RequestId &id);
    void onDispatched(const RequestId &id);
    void onFirstToken(const RequestId &id);
    void tokens(const RequestId &id, std::uint32_t count);
    void onFinished(const RequestId &id, const RunStats &stats);

    std::uint32_t running() const;
    std::uint32_t freeSlots() const;
    const EngineSpeed &speed() const;
    /// @return seconds of prefill work that wait on the engine
    double prefillBacklog() const;
    PrefixIndex &cache();
    const PrefixIndex &cache() const;

private:
    struct Run
    {
        Tier tier;
        double highOutput = 0; // tokens that it will hardly exceed
        TimePoint deadline {};
        double prefillTokens = 0; // expected
        std::uint32_t promptTokens = 0;
        TimePoint dispatchedAt {};
        TimePoint prefillBegan {};
        TimePoint firstTokenAt {};
        TimePoint lastTokenAt {};
        bool decoding = false;
        bool lastChance = false; // placed although it may leave no room for a higher tier
        double made = 0;
    };

    bool protects(const Candidate &candidate, double prefillSeconds) const;
    bool leavesRoom(const Candidate &candidate, double prefillSeconds, const std::vector<TierNeed> &needs) const;
    double secondsLeft(TimePoint deadline) const;
    std::uint32_t limit() const;

    const Clock &m_clock;
    const OutputEstimator &m_outputs;
    EngineSpec m_spec;
    EngineSpeed m_speed;
    PrefixIndex m_cache {0};
    std::unordered_map<RequestId, Run> m_runs;
    std::uint32_t m_decoding = 0;
    std::uint32_t m_lastChances = 0;
    std::uint32_t m_tokenless = 0; // requests that completed without tokens
    std::uint32_t m_found = 0; // run since before this daemon started
    double m_prefillTokensWaiting = 0;
    TimePoint m_lastFirstToken {};
    bool m_up = true;
};

} // namespace monsoonward
