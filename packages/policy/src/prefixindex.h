#pragma once

#include <monsoonward/values/values.h>

#include <list>
#include <unordered_map>
#include <vector>

namespace monsoonward
{

/// @brief Which prefix blocks one cache probably holds. Fed by own dispatches and by cache events that come late and
/// with gaps, so an answer is a guess. Bounded; forgets the least recently used, as the engine does.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxBlocks);

    void setMaxBlocks(std::size_t maxBlocks);
    /// The blocks were computed or used, the first one last to be forgotten.
    void markUsed(const std::vector<PrefixHash> &blocks);
    void add(PrefixHash block);
    void remove(PrefixHash block);
    void clear();
    bool contains(PrefixHash block) const;
    /// @return how many leading blocks of @p blocks are held
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
