// Keeps copies of what a daemon knows of streams at other daemons.
#include "monsoonward/dispatch/streamdirectory.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

bool isAwaited(const StreamCopy &copy)
{
    return copy.sends > 0 && !copy.isConfirmed;
}

bool hasFailed(const StreamCopy &copy, TimePoint now)
{
    return isAwaited(copy) && copy.sends >= StreamDirectory::maxTells
        && now - copy.sentAt >= StreamDirectory::confirmationTimeout;
}

} // namespace

void StreamDirectory::leave(TimePoint now)
{
    m_isLeaving = true;
    m_copies.setAllDue(now);
    review(now);
}

bool StreamDirectory::isHandingOver() const
{
    return m_isLeaving && m_copies.nextDueAt().has_value();
}

void StreamDirectory::review(TimePoint now)
{
    const auto most = std::max<std::size_t>(maxComparisons / std::max<std::size_t>(m_ranking.size(), 1), 1);
    for (const auto &it : m_copies.takeDue(most, now)) {
        provideCopies(it, now);
    }
    m_nextReviewAt = now + pauseBetweenReviews;
}

void StreamDirectory::provideCopies(const StreamKey &stream, TimePoint now)
{
    const auto origin = m_table.find(stream, now);
    if (!origin) {
        return;
    }
    auto &copies = m_copies.of(stream);
    copies.erase(std::remove_if(copies.begin(),
                                copies.end(),
                                [&](const StreamCopy &it) { return m_ranking.find(it.run) == nullptr; }),
                 copies.end());
    for (auto &it : copies) {
        if (isAwaited(it)) {
            provideCopy(stream, *origin, it, now);
        }
    }
    const bool isLeftToOthers = mayLeaveToOthers(stream, copies, now);
    const bool needsConfirmation = m_isLeaving || copies.size() < tellers;
    std::size_t present = 0;
    // Daemons that don't confirm are passed over; but not the whole fleet where none does.
    const auto ranked = m_ranking.ranked(stream, m_holders * 2, now);
    m_copies.setHolders(stream, ranked, m_holders);
    for (const auto &it : ranked) {
        const auto *copy = StreamCopies::find(copies, runOf(it));
        if (copy == nullptr) {
            copies.push_back({runOf(it), 0, false, now});
            if (needsConfirmation) {
                provideCopy(stream, *origin, copies.back(), now);
            } else if (!isLeftToOthers) {
                m_messenger.send(it.address, messageOf(StreamMessage::Kind::Tell, stream, *origin, now));
            }
        } else if (hasFailed(*copy, now)) {
            continue;
        } else if (m_isLeaving && copy->sends == 0 && !copy->isConfirmed) {
            provideCopy(stream, *origin, *StreamCopies::find(copies, runOf(it)), now);
        }
        if (++present == m_holders) {
            break;
        }
    }
    for (const auto &it : copies) {
        if (isAwaited(it) && !hasFailed(it, now)) {
            m_copies.setDue(stream, it.sentAt + confirmationTimeout);
        }
    }
}

bool StreamDirectory::mayLeaveToOthers(const StreamKey &stream,
                                       const std::vector<StreamCopy> &copies,
                                       TimePoint now) const
{
    std::vector<DaemonRun> runs;
    for (const auto &it : copies) {
        if (!hasFailed(it, now)) {
            runs.push_back(it.run);
        }
    }
    return m_ranking.countBefore(stream, runs, now) >= tellers;
}

void StreamDirectory::provideCopy(const StreamKey &stream, const StreamOrigin &origin, StreamCopy &copy, TimePoint now)
{
    const auto *peer = m_ranking.find(copy.run);
    const bool isDue = copy.sends == 0 || now - copy.sentAt >= confirmationTimeout;
    if (peer == nullptr || copy.isConfirmed || !isDue || copy.sends >= maxTells) {
        return;
    }
    auto message = messageOf(StreamMessage::Kind::Tell, stream, origin, now);
    message.asksForConfirmation = true;
    m_messenger.send(peer->address, message);
    ++copy.sends;
    copy.sentAt = now;
}

void StreamDirectory::spreadDoubt(const StreamKey &stream, const StreamPeer *source, TimePoint now)
{
    auto &copies = m_copies.of(stream);
    for (auto &it : copies) {
        it = {it.run, 0, source != nullptr && it.run == runOf(*source), now};
    }
    for (const auto &it : m_ranking.ranked(stream, m_holders, now)) {
        if (StreamCopies::find(copies, runOf(it)) == nullptr) {
            copies.push_back({runOf(it), 0, false, now});
        }
    }
    if (const auto origin = m_table.find(stream, now)) {
        for (auto &it : copies) {
            provideCopy(stream, *origin, it, now);
        }
        m_copies.setDue(stream, now + confirmationTimeout);
    }
}

void StreamDirectory::receiveTell(const Address &from, const StreamMessage &message, TimePoint now)
{
    const auto before = m_table.find(message.stream, now);
    record(message.stream, originIn(message, now), 0, now);
    const auto after = m_table.find(message.stream, now);
    if (!after) {
        return;
    }
    auto &copies = m_copies.of(message.stream);
    if (!before) {
        // The daemon that tells has told the other holders as well.
        const auto holders = m_ranking.ranked(message.stream, m_holders, now);
        m_copies.setHolders(message.stream, holders, m_holders);
        for (const auto &it : holders) {
            copies.push_back({runOf(it), 0, false, now});
        }
        if (m_isLeaving) {
            m_copies.setDue(message.stream, now);
        }
    }
    const auto *peer = m_ranking.findAt(from);
    if (peer != nullptr) {
        if (auto *copy = StreamCopies::find(copies, runOf(*peer))) {
            copy->isConfirmed = true;
        } else {
            copies.push_back({runOf(*peer), 0, true, now});
        }
    }
    if (before && !before->isDoubtful && after->isDoubtful) {
        spreadDoubt(message.stream, peer, now);
    }
    if (message.asksForConfirmation) {
        m_messenger.send(from, messageOf(StreamMessage::Kind::Known, message.stream, *after, now));
    }
}

/// A daemon that was told of the stream confirms it.
void StreamDirectory::receiveKnown(const Address &from, const StreamMessage &message, TimePoint now)
{
    const auto origin = m_table.find(message.stream, now);
    const auto *peer = m_ranking.findAt(from);
    if (!origin || peer == nullptr) {
        return;
    }
    auto &copies = m_copies.of(message.stream);
    auto *copy = StreamCopies::find(copies, runOf(*peer));
    if (copy == nullptr || copy->sends == 0) {
        return;
    }
    if (message.isDoubtful || !origin->isDoubtful) { // else it answers an earlier message
        copy->isConfirmed = true;
    }
    if (std::none_of(copies.begin(), copies.end(), isAwaited)) {
        m_copies.clearDue(message.stream, now);
    }
    if (message.isDoubtful && !origin->isDoubtful) {
        record(message.stream, originIn(message, now), 0, now);
        spreadDoubt(message.stream, peer, now);
    }
}

} // namespace monsoonward
