#include "monsoonward/values/memoryaccount.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t quarters = 4; // long shares may hold three, and a line's unread bytes take one at most

} // namespace

MemoryAccount::MemoryAccount(std::size_t bound)
    : m_bound(bound)
{
}

void MemoryAccount::setBound(std::size_t bound)
{
    m_bound = bound;
}

std::size_t MemoryAccount::held() const
{
    return m_held;
}

std::size_t MemoryAccount::waiting() const
{
    return m_line.size();
}

std::size_t MemoryAccount::boundFor(std::size_t bytes) const
{
    return bytes <= shortBytes ? m_bound : m_bound - m_bound / quarters;
}

bool MemoryAccount::fits(std::size_t bytes, std::size_t formerBytes) const
{
    const auto others = m_held - formerBytes;
    const auto bound = boundFor(bytes);
    // One that exceeds the bound by itself is served alone.
    return others + bytes <= bound || (others == 0 && bytes <= m_bound * 2);
}

bool MemoryAccount::displaceLargest(const MemoryShare *except)
{
    MemoryShare *largest = nullptr;
    for (auto *const it : m_displaceable) {
        if (it != except && it->m_bytes > shortBytes && (largest == nullptr || it->m_bytes > largest->m_bytes)) {
            largest = it;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    const auto onDisplaced = largest->m_onDisplaced; // the share may end in the call
    largest->release();
    onDisplaced();
    return true;
}

MemoryShare::MemoryShare(MemoryAccount *account)
    : m_account(account)
{
}

MemoryShare::~MemoryShare()
{
    release();
}

MemoryShare::Answer MemoryShare::ask(std::size_t bytes)
{
    if (m_account == nullptr || bytes <= m_bytes) {
        hold(bytes);
        return Answer::Granted;
    }
    const bool isShort = bytes <= MemoryAccount::shortBytes;
    while (isShort && !m_account->fits(bytes, m_bytes) && m_account->displaceLargest(this)) { }
    if ((isShort || isFirstInLine()) && m_account->fits(bytes, m_bytes)) {
        leaveLine();
        hold(bytes);
        return Answer::Granted;
    }
    if (!m_isInLine) {
        const auto maxLine = m_account->m_bound / quarters / MemoryAccount::shortBytes;
        if (isShort || m_account->m_line.size() >= maxLine) {
            return Answer::Refused;
        }
        m_account->m_line.push_back(this);
        m_isInLine = true;
    }
    return Answer::Wait;
}

void MemoryShare::hold(std::size_t bytes)
{
    if (m_account != nullptr) {
        m_account->m_held = m_account->m_held - m_bytes + bytes;
        m_bytes = bytes;
    }
}

void MemoryShare::setDisplaceable(std::function<void()> onDisplaced)
{
    m_onDisplaced = std::move(onDisplaced);
    if (m_account != nullptr && m_onDisplaced) {
        m_account->m_displaceable.insert(this);
    } else if (m_account != nullptr) {
        m_account->m_displaceable.erase(this);
    }
}

void MemoryShare::release()
{
    leaveLine();
    hold(0);
    setDisplaceable({});
}

bool MemoryShare::hasRoomFor(std::size_t bytes) const
{
    return m_account == nullptr || m_account->fits(bytes, m_bytes);
}

std::size_t MemoryShare::bytes() const
{
    return m_bytes;
}

bool MemoryShare::isFirstInLine() const
{
    return m_account->m_line.empty() || m_account->m_line.front() == this;
}

void MemoryShare::leaveLine()
{
    if (m_isInLine) {
        m_account->m_line.remove(this);
        m_isInLine = false;
    }
}

} // namespace monsoonward
