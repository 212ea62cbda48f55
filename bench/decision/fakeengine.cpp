#include "fakeengine.h"

#include <monsoonward/policy/policy.h>

#include <algorithm>
#include <cmath>

namespace monsoonward::bench
{

namespace
{

constexpr double decodeSlowdownDuringPrefill = 2; // factor on the length of a decode step while a prefill runs

Duration secondsToDuration(double n)
{
    return Duration(static_cast<std::int64_t>(std::ceil(n * 1e9)));
}

} // namespace

BlockCache::BlockCache(std::size_t blocks)
    : m_limit(blocks)
{
}

std::size_t BlockCache::cachedPrefixBlocks(const std::vector<PrefixHash> &blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && m_positions.count(blocks[n]) != 0) {
        ++n;
    }
    return n;
}

void BlockCache::touch(const std::vector<PrefixHash> &blocks)
{
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        const auto held = m_positions.find(*it);
        if (held != m_positions.end()) {
            m_recency.splice(m_recency.begin(), m_recency, held->second);
            continue;
        }
        m_recency.push_front(*it);
        m_positions[*it] = m_recency.begin();
        m_newlyCached.push_back(*it);
    }
    while (m_recency.size() > m_limit) {
        m_newlyEvicted.push_back(m_recency.back());
        m_positions.erase(m_recency.back());
        m_recency.pop_back();
    }
}

void BlockCache::clear()
{
    m_recency.clear();
    m_positions.clear();
    m_newlyCached.clear();
    m_newlyEvicted.clear();
}

void BlockCache::takeChanges(std::vector<PrefixHash> &cached, std::vector<PrefixHash> &evicted)
{
    cached.swap(m_newlyCached);
    evicted.swap(m_newlyEvicted);
    m_newlyCached.clear();
    m_newlyEvicted.clear();
}

FakeEngine::FakeEngine(std::size_t index, const EngineGroup &group, EventQueue &queue, EngineListener &listener)
    : m_index(index)
    , m_group(group)
    , m_queue(queue)
    , m_listener(listener)
    , m_cache(group.cacheTokens / prefixBlockTokens)
    , m_lastAdvance(queue.now())
{
}

void FakeEngine::dispatch(const Job &job)
{
    if (!m_up) {
        m_listener.lost(m_index, job, 0);
        return;
    }
    m_waiting.push_back(&job);
    advanceToNow();
    startPrefill();
    scheduleNextEvents();
}

void FakeEngine::cancel(const Job &job)
{
    advanceToNow();
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), &job);
    std::uint32_t prefilled = 0;
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
    } else if (m_prefilling == &job) {
        prefilled = job.promptTokens - m_prefillCachedTokens - static_cast<std::uint32_t>(m_prefillTokensLeft);
        m_prefilledTokens += prefilled;
        m_prefilling = nullptr;
        ++m_prefillGeneration;
    } else {
        const auto it = std::find_if(
            m_decoding.begin(), m_decoding.end(), [&job](const auto &entry) { return entry.second.job == &job; });
        if (it == m_decoding.end()) {
            return;
        }
        prefilled = job.promptTokens - it->second.cachedTokens;
        m_decoding.erase(it);
    }
    m_listener.lost(m_index, job, prefilled);
    startPrefill();
    scheduleNextEvents();
}

void FakeEngine::crash()
{
    advanceToNow();
    m_up = false;
    m_cache.clear();
    ++m_prefillGeneration;
    ++m_decodeGeneration;
    const auto waiting = std::move(m_waiting);
    const auto decoding = std::move(m_decoding);
    const auto *prefilling = m_prefilling;
    m_waiting.clear();
    m_decoding.clear();
    m_prefilling = nullptr;
    for (const auto &[end, it] : decoding) {
        m_listener.lost(m_index, *it.job, it.job->promptTokens - it.cachedTokens);
    }
    if (prefilling != nullptr) {
        const auto prefilled =
            prefilling->promptTokens - m_prefillCachedTokens - static_cast<std::uint32_t>(m_prefillTokensLeft);
        m_prefilledTokens += prefilled;
        m_listener.lost(m_index, *prefilling, prefilled);
    }
    for (const auto *it : waiting) {
        m_listener.lost(m_index, *it, 0);
    }
}

void FakeEngine::restart()
{
    advanceToNow();
    m_up = true;
}

void FakeEngine::setSlowdown(double slowdown)
{
    advanceToNow();
    m_slowdown = slowdown;
    scheduleNextEvents();
}

bool FakeEngine::isUp() const
{
    return m_up;
}

const EngineGroup &FakeEngine::group() const
{
    return m_group;
}

std::size_t FakeEngine::running() const
{
    return m_decoding.size() + (m_prefilling != nullptr ? 1 : 0);
}

std::size_t FakeEngine::waiting() const
{
    return m_waiting.size();
}

BlockCache &FakeEngine::cache()
{
    return m_cache;
}

const BlockCache &FakeEngine::cache() const
{
    return m_cache;
}

std::uint64_t FakeEngine::prefilledTokens() const
{
    return m_prefilledTokens;
}

std::vector<std::pair<std::size_t, double>> FakeEngine::progress() const
{
    const double elapsed = std::chrono::duration<double>(m_queue.now() - m_lastAdvance).count();
    const double count = m_decodedTokens + elapsed * tokensPerSecond();
    std::vector<std::pair<std::size_t, double>> generated;
    for (const auto &[end, it] : m_decoding) {
        generated.emplace_back(it.job->index, count - it.startedAtToken);
    }
    return generated;
}

void FakeEngine::startPrefill()
{
    if (m_prefilling != nullptr || m_waiting.empty() || m_decoding.size() >= m_group.maxBatch) {
        return;
    }
    m_prefilling = m_waiting.front();
    m_waiting.pop_front();
    const auto cachedBlocks = m_cache.cachedPrefixBlocks(m_prefilling->blocks);
    const auto cached = static_cast<std::uint32_t>(cachedBlocks) * prefixBlockTokens;
    m_prefillCachedTokens = std::min(cached, m_prefilling->promptTokens);
    m_prefillTokensLeft = m_prefilling->promptTokens - m_prefillCachedTokens;
}

void FakeEngine::endPrefill(std::uint64_t generation)
{
    if (generation != m_prefillGeneration) {
        return;
    }
    advanceToNow();
    const auto *job = m_prefilling;
    m_prefilledTokens += job->promptTokens - m_prefillCachedTokens;
    m_cache.touch(job->blocks);
    m_decoding.insert({m_decodedTokens + job->outputTokens, {job, m_prefillCachedTokens, m_decodedTokens}});
    m_prefilling = nullptr;
    m_prefillTokensLeft = 0;
    startPrefill();
    scheduleNextEvents();
    m_listener.firstToken(m_index, *job);
}

void FakeEngine::endDecode(std::uint64_t generation)
{
    if (generation != m_decodeGeneration) {
        return;
    }
    advanceToNow();
    const auto it = *m_decoding.begin();
    m_decodedTokens = std::max(m_decodedTokens, it.first);
    m_decoding.erase(m_decoding.begin());
    startPrefill();
    scheduleNextEvents();
    m_listener.finished(m_index, *it.second.job, it.second.cachedTokens);
}

void FakeEngine::advanceToNow()
{
    const double elapsed = std::chrono::duration<double>(m_queue.now() - m_lastAdvance).count();
    m_lastAdvance = m_queue.now();
    if (!m_up) {
        return;
    }
    m_decodedTokens += elapsed * tokensPerSecond();
    if (m_prefilling != nullptr) {
        m_prefillTokensLeft =
            std::max(0.0, m_prefillTokensLeft - elapsed * m_group.prefillTokensPerSecond / m_slowdown);
    }
}

void FakeEngine::scheduleNextEvents()
{
    const auto prefill = ++m_prefillGeneration;
    const auto decode = ++m_decodeGeneration;
    if (m_prefilling != nullptr) {
        const auto left = secondsToDuration(m_prefillTokensLeft * m_slowdown / m_group.prefillTokensPerSecond);
        m_queue.after(left, [this, prefill] { endPrefill(prefill); });
    }
    if (!m_decoding.empty()) {
        const double tokens = std::max(0.0, m_decoding.begin()->first - m_decodedTokens);
        m_queue.after(secondsToDuration(tokens / tokensPerSecond()), [this, decode] { endDecode(decode); });
    }
}

double FakeEngine::tokensPerSecond() const
{
    const double batch = m_decoding.empty() ? 0 : static_cast<double>(m_decoding.size() - 1);
    const double step = (1 + m_group.batchSlowdown * batch) / m_group.decodeTokensPerSecond;
    return 1 / (step * m_slowdown * (m_prefilling != nullptr ? decodeSlowdownDuringPrefill : 1));
}

} // namespace monsoonward::bench
