#pragma once

#include "eventqueue.h"
#include "trace.h"

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace monsoonward::bench
{

/// @brief The prompt prefix blocks that an engine has cached; evicts the least recently used block when full.
class BlockCache
{
public:
    /// @param blocks capacity
    explicit BlockCache(std::size_t blocks);
    /// @return the number of leading blocks of @p blocks that are cached, without a gap
    std::size_t cachedPrefixBlocks(const std::vector<PrefixHash> &blocks) const;
    /// Adds @p blocks, or marks them as just used. The first block becomes the most recently used one, so that a prefix
    /// loses its last blocks first.
    void touch(const std::vector<PrefixHash> &blocks);
    void clear();
    /// Replaces the contents of the lists by the blocks cached and evicted since the last call.
    void takeChanges(std::vector<PrefixHash> &cached, std::vector<PrefixHash> &evicted);

private:
    std::size_t m_limit;
    std::list<PrefixHash> m_recency; // most recently used first
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> m_positions;
    std::vector<PrefixHash> m_newlyCached;
    std::vector<PrefixHash> m_newlyEvicted;
};

/// @brief Callbacks of FakeEngine for the progress of its requests.
class EngineListener
{
public:
    virtual ~EngineListener() = default;
    virtual void firstToken(std::size_t engine, const Job &job) = 0;
    virtual void finished(std::size_t engine, const Job &job, std::uint32_t cachedTokens) = 0;
    /// The engine dropped the request: it crashed, was down at dispatch, or the request was cancelled.
    /// @param prefilled prompt tokens computed for the request until then
    virtual void lost(std::size_t engine, const Job &job, std::uint32_t prefilled) = 0;
};

/// @brief Simulates an inference engine. It prefills one request at a time, in order of arrival; decode steps take
/// twice as long during a prefill. A prefill starts only while fewer than maxBatch requests are decoding; the other
/// requests wait in order of arrival.
class FakeEngine
{
public:
    FakeEngine(std::size_t index, const EngineGroup &group, EventQueue &queue, EngineListener &listener);

    void dispatch(const Job &job);
    void cancel(const Job &job);
    void crash();
    void restart();
    void setSlowdown(double slowdown);

    bool isUp() const;
    const EngineGroup &group() const;
    std::size_t running() const; ///< requests prefilling or decoding
    std::size_t waiting() const; ///< requests in the engine's queue
    BlockCache &cache();
    const BlockCache &cache() const;
    std::uint64_t prefilledTokens() const;
    /// @return job index and number of output tokens so far for each decoding request
    std::vector<std::pair<std::size_t, double>> progress() const;

private:
    struct Decoding
    {
        const Job *job;
        std::uint32_t cachedTokens;
        double startedAtToken; // m_decodedTokens when decoding started
    };

    void startPrefill();
    void endPrefill(std::uint64_t generation);
    void endDecode(std::uint64_t generation);
    /// Accounts for the work done since the last call; to be called before anything that changes the rates.
    void advanceToNow();
    /// Cancels the pending end events by a new generation number and schedules them again for the current rates.
    void scheduleNextEvents();
    double tokensPerSecond() const;

    std::size_t m_index;
    EngineGroup m_group;
    EventQueue &m_queue;
    EngineListener &m_listener;
    BlockCache m_cache;
    bool m_up = true;
    double m_slowdown = 1;
    std::uint64_t m_prefillGeneration = 0;
    std::uint64_t m_decodeGeneration = 0;
    std::deque<const Job *> m_waiting;
    const Job *m_prefilling = nullptr;
    std::uint32_t m_prefillCachedTokens = 0;
    double m_prefillTokensLeft = 0; // left of the current prefill
    TimePoint m_lastAdvance {};
    double m_decodedTokens = 0; // output tokens of an imaginary request that has been decoding since the start
    std::multimap<double, Decoding> m_decoding; // key: value of m_decodedTokens at which the request ends
    std::uint64_t m_prefilledTokens = 0;
};

} // namespace monsoonward::bench
