#include "prefixindex.h"

namespace monsoonward
{

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

void PrefixIndex::setMaxBlocks(std::size_t maxBlocks)
{
    m_maxBlocks = maxBlocks;
    evictOldest();
}

void PrefixIndex::markUsed(const std::vector<PrefixHash> &blocks)
{
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        add(*it);
    }
}

void PrefixIndex::add(PrefixHash block)
{
    const auto known = m_positions.find(block);
    if (known != m_positions.end()) {
        m_blocks.splice(m_blocks.begin(), m_blocks, known->second);
        return;
    }
    m_blocks.push_front(block);
    m_positions[block] = m_blocks.begin();
    evictOldest();
}

void PrefixIndex::remove(PrefixHash block)
{
    const auto known = m_positions.find(block);
    if (known != m_positions.end()) {
        m_blocks.erase(known->second);
        m_positions.erase(known);
    }
}

void PrefixIndex::clear()
{
    m_blocks.clear();
    m_positions.clear();
}

bool PrefixIndex::contains(PrefixHash block) const
{
    return m_positions.count(block) != 0;
}

std::size_t PrefixIndex::countLeading(const std::vector<PrefixHash> &blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && contains(blocks[n])) {
        ++n;
    }
    return n;
}

std::size_t PrefixIndex::size() const
{
    return m_blocks.size();
}

const std::list<PrefixHash> &PrefixIndex::blocks() const
{
    return m_blocks;
}

void PrefixIndex::evictOldest()
{
    while (m_blocks.size() > m_maxBlocks) {
        m_positions.erase(m_blocks.back());
        m_blocks.pop_back();
    }
}

} // namespace monsoonward
