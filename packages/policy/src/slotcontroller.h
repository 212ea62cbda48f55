#pragma once

#include "enginespeed.h"
#include "estimator.h"
#include "monsoonward/policy/targetpolicy.h"
#include "prefixindex.h"

#include <unordered_map>

namespace monsoonward
{

/// @brief What requests of one tier typically need at this target.
struct TierProfile
{
    Tier tier;
    double promptTokens = 0;
    double outputTokens = 0;
    double secondsToDeadline = 0; ///< from the reservation to the deadline
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
    SlotController(const Clock &clock, const OutputLengthEstimator &outputs);

    void configure(const EngineSpec &spec);
    void setAvailable(bool available);
    void setInheritedRequests(std::uint32_t running);
    bool isAvailable() const;

    /// @param profiles of the tiers seen lately
    /// @return whether @p candidate may be placed now
    bool canPlace(const Candidate &candidate, const std::vector<TierProfile> &profiles) const;
    /// @return seconds until @p candidate would be finished, were it placed now
    double secondsToFinish(const Candidate &candidate) const;

    void place(const Candidate &candidate);
    void onClaimReleased(const RequestId &id);
    void onDispatched(const RequestId &id);
    void onFirstToken(const RequestId &id);
    void onTokens(const RequestId &id, std::uint32_t count);
    void onFinished(const RequestId &id, const RunStats &stats);

    std::uint32_t running() const;
    std::uint32_t freeSlots() const;
    const EngineSpeed &speed() const;
    /// @return seconds of prefill work that wait on the engine
    double prefillBacklogSeconds() const;
    PrefixIndex &cache();
    const PrefixIndex &cache() const;

private:
    struct PlacedRequest
    {
        Tier tier;
        double outputTokensP95 = 0; // tokens that it will hardly exceed
        TimePoint deadline {};
        double prefillTokens = 0; // expected
        std::uint32_t promptTokens = 0;
        TimePoint dispatchedAt {};
        TimePoint prefillStartedAt {};
        TimePoint firstTokenAt {};
        TimePoint lastTokenAt {};
        bool decoding = false;
        bool mustStartNow = false; // placed although it may leave no room for a higher tier
        double generatedTokens = 0;
    };

    bool keepsDeadlines(const Candidate &candidate, double prefillSeconds) const;
    bool
    leavesHeadroom(const Candidate &candidate, double prefillSeconds, const std::vector<TierProfile> &profiles) const;
    double secondsUntil(TimePoint deadline) const;
    std::uint32_t maxRequests() const;

    const Clock &m_clock;
    const OutputLengthEstimator &m_outputLengths;
    EngineSpec m_spec;
    EngineSpeed m_speed;
    PrefixIndex m_cache {0};
    std::unordered_map<RequestId, PlacedRequest> m_requests;
    std::uint32_t m_decodingCount = 0;
    std::uint32_t m_mustStartNowCount = 0;
    std::uint32_t m_tokenlessCompletions = 0; // requests that completed without tokens
    std::uint32_t m_inheritedRequests = 0; // run since before this daemon started
    double m_prefillTokensWaiting = 0;
    TimePoint m_lastFirstTokenAt {};
    bool m_available = true;
};

} // namespace monsoonward
