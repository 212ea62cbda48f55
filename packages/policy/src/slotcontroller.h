#pragma once

#include "enginespeed.h"
#include "estimator.h"
#include "monsoonward/policy/targetpolicy.h"
#include "prefixindex.h"

#include <unordered_map>

namespace monsoonward
{

/// @brief A typical request of one tier at this target, averaged over recent reservations.
struct TierProfile
{
    Tier tier;
    double promptTokens = 0;
    double outputTokens = 0;
    double secondsToDeadline = 0; ///< counted from the reservation
    TimePoint lastSeen {}; ///< time of the last reservation
};

/// @brief A request that may be placed on an engine.
struct Candidate
{
    const Reserve &reserve;
    TimePoint deadline {};
    double outputTokens = 0; ///< estimated
    std::uint32_t cachedTokens = 0; ///< on the engine in question, estimated
};

/// @brief Decides whether one engine can take a further request, up to its batch size.
///
/// A request is placed if
/// - it is expected to finish before its deadline (once the engine's speed is known),
/// - the placed requests of its tier and of higher tiers that would meet their deadlines are expected to do so still,
/// and
/// - a typical request of each higher tier that arrived now could still meet its deadline. A request that is
///   close to its own deadline is exempt from this, unless another such request is on the engine.
class SlotController
{
public:
    SlotController(const Clock &clock, const OutputLengthEstimator &outputs);

    void configure(const EngineSpec &spec);
    void setAvailable(bool available);
    /// The engine still runs @p running requests that were dispatched before this daemon started.
    void setInheritedRequests(std::uint32_t running);
    bool isAvailable() const;

    /// @param profiles the tiers with recent requests
    /// @return whether @p candidate may be placed now
    bool canPlace(const Candidate &candidate, const std::vector<TierProfile> &profiles) const;
    /// @return the expected number of seconds until @p candidate would finish if it were placed now
    double secondsToFinish(const Candidate &candidate) const;

    void place(const Candidate &candidate);
    void onClaimReleased(const RequestId &id);
    void onDispatched(const RequestId &id);
    void onFirstToken(const RequestId &id);
    void onTokens(const RequestId &id, std::uint32_t count);
    void onFinished(const RequestId &id, const RunStats &stats);

    /// @return the number of placed and inherited requests
    std::uint32_t running() const;
    std::uint32_t freeSlots() const;
    const EngineSpeed &speed() const;
    /// @return the expected number of seconds that the engine needs for its pending prefills
    double prefillBacklogSeconds() const;
    PrefixIndex &cache();
    const PrefixIndex &cache() const;

private:
    struct PlacedRequest
    {
        Tier tier;
        double outputTokensP95 = 0; // 95th percentile of the expected output
        TimePoint deadline {};
        double prefillTokens = 0; // prompt tokens that are probably not cached
        std::uint32_t promptTokens = 0;
        TimePoint dispatchedAt {};
        TimePoint prefillStartedAt {};
        TimePoint firstTokenAt {};
        TimePoint lastTokenAt {};
        bool decoding = false;
        bool mustStartNow =
            false; // close to its deadline when placed; while one runs, no other is exempt from leavesHeadroom()
        double generatedTokens = 0;
    };

    /// @return whether the placed requests of the same and higher tiers meet the deadlines that they would meet without
    /// @p candidate
    bool keepsDeadlines(const Candidate &candidate, double prefillSeconds) const;
    /// @return whether a typical request of each higher tier could still be placed and meet its deadline
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
    std::uint32_t m_tokenlessCompletions = 0; // completed requests that reported no tokens
    std::uint32_t m_inheritedRequests = 0; // dispatched before this daemon started
    double m_prefillTokensWaiting = 0;
    TimePoint m_lastFirstTokenAt {};
    bool m_available = true;
};

} // namespace monsoonward
