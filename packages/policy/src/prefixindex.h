#pragma once

#include <monsoonward/values/values.h>

#include <list>
#include <unordered_map>
#include <vector>

namespace monsoonward
{

/// @brief A bounded LRU set of prefix blocks, such as those that a cache probably holds.
///
/// A cache is tracked by the requests sent to it and by its cache events. These arrive late and incompletely, so the
/// answer is a guess. The index evicts the least recently used block, as the engine does.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxBlocks);

    void setMaxBlocks(std::size_t maxBlocks);
    /// Adds the blocks of a prompt or marks them as used. The first block becomes the most recently used one.
    void markUsed(const std::vector<PrefixHash> &blocks);
    /// Adds the block or marks it as used.
    void add(PrefixHash block);
    void remove(PrefixHash block);
    void clear();
    bool contains(PrefixHash block) const;
    /// @return how many leading blocks of @p blocks are in the index without a gap
    std::size_t countLeading(const std::vector<PrefixHash> &blocks) const;
    std::size_t size() const;
    /// @return the blocks, most recently used first
    const std::list<PrefixHash> &blocks() const;

private:
    void evictOldest();

    std::size_t m_maxBlocks;
    std::list<PrefixHash> m_blocks; // most recently used first
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> m_positions;
};

} // namespace monsoonward
