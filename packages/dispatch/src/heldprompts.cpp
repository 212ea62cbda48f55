#include "monsoonward/dispatch/heldprompts.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxParts = 32; // of one prompt
constexpr double meanWeight = 0.02; // of one prompt in the moving average

/// @return the tokens that a part "ID:tokens" states, or nothing if it is malformed
std::optional<std::uint32_t> tokensOf(std::string_view part)
{
    const auto colon = part.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint32_t tokens = 0;
    const auto *const end = part.data() + part.size();
    const auto [stop, ec] = std::from_chars(part.data() + colon + 1, end, tokens);
    return ec == std::errc() && stop == end ? std::optional<std::uint32_t>(tokens) : std::nullopt;
}

} // namespace

PromptBeginnings promptBeginnings(std::string_view parts, std::string_view customer, std::string_view model)
{
    PromptBeginnings prompt;
    auto id = hashOf(model, hashOf(customer));
    std::uint32_t tokens = 0;
    while (!parts.empty() && prompt.size() < maxParts) {
        const auto part = parts.substr(0, parts.find(','));
        const auto n = tokensOf(part);
        if (!n || *n > std::numeric_limits<std::uint32_t>::max() - tokens) {
            return {};
        }
        tokens += *n;
        id = hashOf(part.substr(0, part.find(':')), id);
        prompt.push_back({id, tokens});
        parts.remove_prefix(std::min(parts.size(), part.size() + 1));
    }
    return prompt;
}

HeldPrompts::HeldPrompts(Duration reuseWindow, std::size_t capacity)
    : m_reuseWindow(reuseWindow)
    , m_capacity(capacity)
{
}

void HeldPrompts::use(const Key &key, double tokensRead, TimePoint now)
{
    const auto known = m_index.find(key);
    if (known != m_index.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        m_entries.front().usedAt = now;
        m_entries.front().tokensRead = tokensRead;
        return;
    }
    m_entries.push_front({key, now, tokensRead});
    m_index[key] = m_entries.begin();
    if (m_entries.size() > m_capacity) {
        m_index.erase(m_entries.back().key);
        m_entries.pop_back();
    }
}

void HeldPrompts::requestSent(EngineRun run, const PromptBeginnings &prompt, TimePoint now)
{
    if (prompt.empty() || m_reuseWindow == Duration::zero()) {
        return;
    }
    auto &read = m_tokensRead[run];
    const double tokens = prompt.back().tokens;
    read += tokens;
    m_meanPromptTokens += m_meanPromptTokens == 0 ? tokens : meanWeight * (tokens - m_meanPromptTokens);
    // The shortest beginning is used last: the longer ones are of no use without it.
    for (auto it = prompt.rbegin(); it != prompt.rend(); ++it) {
        use({run, it->id}, read, now);
    }
}

double HeldPrompts::expectedTokens(EngineRun run,
                                   const PromptBeginnings &prompt,
                                   const EngineMemory &memory,
                                   TimePoint now) const
{
    const auto read = m_tokensRead.find(run);
    const double room = memory.capacityTokens - memory.usedTokens;
    if (read == m_tokensRead.end() || room <= 0) {
        return 0;
    }
    double expected = 0;
    std::uint32_t shorter = 0; // tokens of the beginning before
    double likelihood = 1;
    for (const auto &it : prompt) {
        const auto known = m_index.find({run, it.id});
        if (known == m_index.end()) {
            break;
        }
        const auto &entry = *known->second;
        const double age = std::chrono::duration<double>(now - entry.usedAt) / m_reuseWindow;
        const double readSince = (read->second - entry.tokensRead) / memory.ownFraction;
        likelihood = std::min(likelihood, std::max(0.0, 1 - age) * std::max(0.0, 1 - readSince / room));
        expected += likelihood * (it.tokens - shorter);
        shorter = it.tokens;
    }
    return expected;
}

double HeldPrompts::meanPromptTokens() const
{
    return m_meanPromptTokens;
}

void HeldPrompts::forget(EngineRun run)
{
    m_tokensRead.erase(run);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->key.run == run) {
            m_index.erase(it->key);
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
}

std::size_t HeldPrompts::size() const
{
    return m_entries.size();
}

} // namespace monsoonward
