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
    forgetOldest();
}

void PrefixIndex::use(const std::vector<PrefixHash> &blocks)
{
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        add(*it);
    }
}

void PrefixIndex::add(PrefixHash block)
{
    const auto held = m_held.find(block);
    if (held != m_held.end()) {
        m_order.splice(m_order.begin(), m_order, held->second);
        return;
    }
    m_order.push_front(block);
    m_held[block] = m_order.begin();
    forgetOldest();
}

void PrefixIndex::remove(PrefixHash block)
{
    const auto held = m_held.find(block);
    if (held != m_held.end()) {
        m_order.erase(held->second);
        m_held.erase(held);
    }
}

void PrefixIndex::clear()
{
    m_order.clear();
    m_held.clear();
}

bool PrefixIndex::holds(PrefixHash block) const
{
    return m_held.count(block) != 0;
}

std::size_t PrefixIndex::leading(const std::vector<PrefixHash> &blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && holds(blocks[n])) {
        ++n;
    }
    return n;
}

std::size_t PrefixIndex::size() const
{
    return m_order.size();
}

const std::list<PrefixHash> &PrefixIndex::blocks() const
{
    return m_order;
}

void PrefixIndex::forgetOldest()
{
    while (m_order.size() > m_maxBlocks) {
        m_held.erase(m_order.back());
        m_order.pop_back();
    }
}

} // namespace monsoonward
