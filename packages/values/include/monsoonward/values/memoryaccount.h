#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <set>

namespace monsoonward
{

class MemoryShare;

/// @brief One account of the bytes that a process holds for its callers and for engines, against a bound. Long bodies
/// leave room for short ones, and wait in line if they don't fit.
class MemoryAccount
{
public:
    /// A share of at most so many bytes is short.
    static constexpr std::size_t shortBytes = std::size_t {64} * 1024;

    /// @param bound in bytes
    explicit MemoryAccount(std::size_t bound);
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// @param bound in bytes, for what is granted from now on
    void setBound(std::size_t bound);
    /// @return bytes held at present
    std::size_t held() const;
    /// @return number of shares that wait in line
    std::size_t waiting() const;

private:
    friend class MemoryShare;

    /// @return bytes that shares of this size may hold together
    std::size_t boundFor(std::size_t bytes) const;
    bool fits(std::size_t bytes, std::size_t formerBytes) const;
    /// Gives up the largest long share that may be displaced.
    /// @return whether there was one
    bool displaceLargest(const MemoryShare *except);

    std::size_t m_bound;
    std::size_t m_held = 0;
    std::list<MemoryShare *> m_line;
    std::set<MemoryShare *> m_displaceable;
};

/// @brief The bytes held for one request or response. Released at the end of its life.
class MemoryShare
{
public:
    enum class Answer {
        Granted,
        Wait, ///< no room now; the share stands in line and is to ask again
        Refused, ///< no room, and the line is too long to wait
    };

    /// @param account must outlive the share; null if nothing is counted
    explicit MemoryShare(MemoryAccount *account);
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Asks to hold @p bytes in all. A short share that doesn't fit displaces the longest one that may be displaced.
    Answer ask(std::size_t bytes);
    /// Holds @p bytes in all without asking, since they exist already.
    void hold(std::size_t bytes);
    /// @param onDisplaced called when a short share needs the room; must release this one. Empty: not to be displaced.
    void setDisplaceable(std::function<void()> onDisplaced);
    /// @return whether there is room to hold @p bytes in all; the share doesn't wait for it
    bool hasRoomFor(std::size_t bytes) const;
    /// Holds nothing, and leaves the line.
    void release();
    /// @return bytes held
    std::size_t bytes() const;

private:
    friend class MemoryAccount;

    bool isFirstInLine() const;
    void leaveLine();

    MemoryAccount *m_account;
    std::size_t m_bytes = 0;
    bool m_isInLine = false;
    std::function<void()> m_onDisplaced;
};

} // namespace monsoonward
