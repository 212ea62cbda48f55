#pragma once

#include "eventqueue.h"
#include "trace.h"

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace monsoonward::bench
{

/// @brief Prefix blocks that an engine holds; evicts the least recently used.
class BlockCache
{
public:
    explicit BlockCache(std::size_t blocks);
    /// @return how many leading blocks of @p blocks are held
    std::size_t leading(const std::vector<PrefixHash> &blocks) const;
    /// Puts @p blocks in front, the first of them last to be evicted.
    void use(const std::vector<PrefixHash> &blocks);
    void clear();
    /// Moves the changes since the last call into the lists.
    void takeChanges(std::vector<PrefixHash> &cached, std::vector<PrefixHash> &evicted);

private:
    std::size_t m_limit;
    std::list<PrefixHash> m_order; // most recently used first
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> m_held;
    std::vector<PrefixHash> m_cached;
    std::vector<PrefixHash> m_evicted;
};

/// @brief Hears what an engine does.
class EngineListener
{
public:
    virtual ~EngineListener() = default;
    virtual void firstToken(std::size_t engine, const Job &job) = 0;
    virtual void finished(std::size_t engine, const Job &job, std::uint32_t cachedTokens) = 0;
    /// The engine crashed with the request in progress, or it was cancelled there.
    /// @param prefilled prompt tokens that were processed for it
    virtual void lost(std::size_t engine, const Job &job, std::uint32_t prefilled) = 0;
};

/// @brief Model of an engine: one prefill at a time, first in, first out; decode steps take twice as long meanwhile; at
/// most maxBatch requests are admitted, the rest wait in order of arrival.
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
    std::size_t running() const; ///< prefilling and decoding
    std::size_t waiting() const; ///< in its own queue
    BlockCache &cache();
    const BlockCache &cache() const;
    std::uint64_t prefilledTokens() const;
    /// @return output tokens made so far for each decoding request
    std::vector<std::pair<std::size_t, double>> progress() const;

private:
    struct Decoding
    {
        const Job *job;
        std::uint32_t cachedTokens;
        double startedAt; // on the token count
    };

    void startPrefill();
    void endPrefill(std::uint64_t generation);
    void endDecode(std::uint64_t generation);
    void advance();
    void schedule();
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
    std::uint32_t m_prefillCached = 0;
    double m_prefillLeft = 0; // tokens
    TimePoint m_last {};
    double m_tokenCount = 0; // output tokens that a request decoding from the start would have
    std::multimap<double, Decoding> m_decoding; // by the token count at which each ends
    std::uint64_t m_prefilledTokens = 0;
};

} // namespace monsoonward::bench
