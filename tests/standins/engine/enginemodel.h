#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace standin
{

/// @brief Speed and capacity of a stand-in engine. A rate of 0 means that the step takes no time.
struct EngineSpeed
{
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0; ///< for a request that runs alone
    double batchSlowdown = 0.05; ///< each further request in the batch lengthens a decode step by this fraction
    unsigned maxBatch = 16;
    std::uint64_t cacheTokens = 0; ///< size of the prefix cache
};

/// @brief One run of a request; tests compare it with the verdict that the caller got.
struct Run
{
    std::string requestId;
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
    bool finished = false;
};

/// @brief Simulates the timing of an engine and records its runs. Prefills run one at a time; decoding is batched.
class EngineModel
{
public:
    explicit EngineModel(const EngineSpeed &speed);

    /// @return the run's index
    std::size_t addRun(const Run &run);
    /// Waits for a place in the batch, then for the prefill. @return number of prompt tokens found in the cache
    std::uint64_t prefill(const std::string &prompt, std::uint64_t tokens);
    /// Waits for one decode step.
    void decodeStep();
    /// Records how the run ended and frees its place in the batch.
    void leaveBatch(std::size_t run, bool finished);

    unsigned running() const;
    unsigned waiting() const;
    std::vector<Run> runs() const;
    void setSlowdown(double factor);

private:
    std::uint64_t touchCache(const std::string &prompt, std::uint64_t tokens);

    EngineSpeed m_speed;
    mutable std::mutex m_mutex;
    std::mutex m_prefillMutex;
    std::condition_variable m_batchChanged;
    std::atomic<unsigned> m_running {0};
    std::atomic<unsigned> m_waiting {0};
    std::atomic<double> m_slowdown {1};
    std::vector<Run> m_runs;
    std::list<std::pair<std::string, std::uint64_t>> m_cache; // most recently used first
    std::uint64_t m_cachedTokens = 0;
};

} // namespace standin
