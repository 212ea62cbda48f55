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

/// @brief Speed and size of a stand-in engine; rates of 0 mean "instantly".
struct EngineSpeed
{
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0; ///< one request alone
    double batchSlowdown = 0.05; ///< each further request in the batch lengthens a decode step by this part
    unsigned maxBatch = 16;
    std::uint64_t cacheTokens = 0; ///< size of the prefix cache
};

/// @brief One run of a request, for tests to compare with what callers were told.
struct Run
{
    std::string requestId;
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
    bool finished = false;
};

/// @brief Timing and bookkeeping of a stand-in engine. Prefill is first in, first out; decoding is batched.
class EngineModel
{
public:
    explicit EngineModel(const EngineSpeed &speed);

    /// @return the run's index
    std::size_t begin(const Run &run);
    /// Waits for a place in the batch, then for the prefill. @return prompt tokens that were cached
    std::uint64_t prefill(const std::string &prompt, std::uint64_t tokens);
    /// Waits for one decode step.
    void decodeStep();
    /// Leaves the batch.
    void end(std::size_t run, bool finished);

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
