#include "enginemodel.h"

#include <algorithm>
#include <thread>

namespace standin
{

namespace
{

constexpr std::size_t prefixCharacters = 256; // prompts with the same first characters share a cache entry

void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

} // namespace

EngineModel::EngineModel(const EngineSpeed &speed)
    : m_speed(speed)
{
}

std::size_t EngineModel::addRun(const Run &run)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back(run);
    return m_runs.size() - 1;
}

std::uint64_t EngineModel::prefill(const std::string &prompt, std::uint64_t tokens)
{
    std::uint64_t cached = 0;
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        ++m_waiting;
        m_batchChanged.wait(lock, [this] { return m_running < m_speed.maxBatch; });
        --m_waiting;
        ++m_running;
        cached = touchCache(prompt, tokens);
    }
    const std::lock_guard<std::mutex> lock(m_prefillMutex);
    if (m_speed.prefillTokensPerSecond > 0) {
        sleepFor(m_slowdown * static_cast<double>(tokens - cached) / m_speed.prefillTokensPerSecond);
    }
    return cached;
}

void EngineModel::decodeStep()
{
    if (m_speed.decodeTokensPerSecond > 0) {
        const double others = std::max(1U, m_running.load()) - 1;
        sleepFor(m_slowdown * (1 + others * m_speed.batchSlowdown) / m_speed.decodeTokensPerSecond);
    }
}

void EngineModel::leaveBatch(std::size_t run, bool finished)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[run].finished = finished;
    --m_running;
    m_batchChanged.notify_one();
}

std::uint64_t EngineModel::touchCache(const std::string &prompt, std::uint64_t tokens)
{
    const auto prefix = prompt.substr(0, prefixCharacters);
    const auto it =
        std::find_if(m_cache.begin(), m_cache.end(), [&](const auto &entry) { return entry.first == prefix; });
    std::uint64_t cached = 0;
    if (it != m_cache.end()) {
        cached = std::min(it->second, tokens);
        m_cache.splice(m_cache.begin(), m_cache, it);
        return cached;
    }
    m_cache.emplace_front(prefix, tokens);
    m_cachedTokens += tokens;
    while (m_cachedTokens > m_speed.cacheTokens && !m_cache.empty()) {
        m_cachedTokens -= m_cache.back().second;
        m_cache.pop_back();
    }
    return cached;
}

unsigned EngineModel::running() const
{
    return m_running;
}

unsigned EngineModel::waiting() const
{
    return m_waiting;
}

std::vector<Run> EngineModel::runs() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

void EngineModel::setSlowdown(double factor)
{
    m_slowdown = factor;
}

} // namespace standin
