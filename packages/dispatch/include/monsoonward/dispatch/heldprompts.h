#pragma once

#include "monsoonward/dispatch/enginerun.h"

#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonward
{

/// @brief The beginning of a prompt, up to the end of one of its parts.
struct PromptBeginning
{
    std::uint64_t id = 0; ///< of all parts up to this one, for one customer and model
    std::uint32_t tokens = 0; ///< from the prompt's start
    MONSOONWARD_FIELDS(id, tokens)
};

/// From the shortest to the whole prompt.
using PromptBeginnings = std::vector<PromptBeginning>;

/// Reads the parts of a prompt as a request states them, "ID:tokens,ID:tokens". Only a limited number of parts counts.
/// @param customer, model what they name has beginnings of its own: nobody learns from the placement of a request what
/// another customer has sent
/// @return nothing if the text is malformed or states no parts
PromptBeginnings promptBeginnings(std::string_view parts, std::string_view customer, std::string_view model);

/// @brief What limits how long an engine keeps the beginnings of prompts.
struct EngineMemory
{
    double capacityTokens = 0; ///< for running requests and kept beginnings together
    double usedTokens = 0; ///< by running requests
    double ownFraction = 1; ///< fraction of the engine's requests that this daemon sends, above 0
    MONSOONWARD_FIELDS(capacityTokens, usedTokens, ownFraction)
};

/// @brief Which beginnings of prompts each run of an engine probably holds, from the requests that this daemon sent
/// there.
///
/// An engine keeps the beginnings used last, as long as it has memory beside its running requests. The estimate falls
/// with the time since the last use, up to the reuse window, and with the tokens that the engine has read since, from
/// this daemon and, in proportion, from the others. Holds a bounded number of beginnings; those used longest ago are
/// dropped.
class HeldPrompts
{
public:
    static constexpr std::size_t defaultCapacity = 20000; ///< beginnings; about 3 MB

    /// @param reuseWindow time after its last use during which a beginning is worth looking for; 0: nothing is recorded
    explicit HeldPrompts(Duration reuseWindow, std::size_t capacity = defaultCapacity);

    /// A request was sent to the engine, which reads its prompt.
    void requestSent(EngineRun run, const PromptBeginnings &prompt, TimePoint now);
    /// @return the expected number of tokens of the prompt that the engine needn't read, 0 to all
    double
    expectedTokens(EngineRun run, const PromptBeginnings &prompt, const EngineMemory &memory, TimePoint now) const;
    /// @return mean number of tokens of the prompts sent; 0 before the first one
    double meanPromptTokens() const;
    /// The run has ended.
    void forget(EngineRun run);
    std::size_t size() const;

private:
    struct Key
    {
        EngineRun run = 0;
        std::uint64_t beginning = 0;
        MONSOONWARD_FIELDS(run, beginning)
    };
    struct Hash
    {
        std::size_t operator()(const Key &it) const
        {
            return static_cast<std::size_t>(it.run ^ it.beginning); // both are hashes
        }
    };
    struct Entry
    {
        Key key;
        TimePoint usedAt;
        double tokensRead = 0; // by the engine for this daemon until then
    };
    using Entries = std::list<Entry>; // used last first

    void use(const Key &key, double tokensRead, TimePoint now);

    Duration m_reuseWindow;
    std::size_t m_capacity;
    Entries m_entries;
    std::unordered_map<Key, Entries::iterator, Hash> m_index;
    std::map<EngineRun, double> m_tokensRead; // by each run for this daemon
    double m_meanPromptTokens = 0;
};

} // namespace monsoonward
