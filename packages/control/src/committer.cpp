#include "committer.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxDeltaBytes =
    std::size_t {64} * 1024; // a larger change is written only as a snapshot, to the object store
constexpr Revision snapshotInterval = 64;
constexpr Revision keptDeltas = 512;

bool isSnapshotNeeded(const std::string &deltaBytes)
{
    return deltaBytes.size() > maxDeltaBytes;
}

bool isSnapshotDue(const HeadRecord &head)
{
    return head.revision >= head.snapshot + snapshotInterval;
}

} // namespace

Committer::Committer(GuardedStore &store, Distribution &distribution)
    : m_store(store)
    , m_distribution(distribution)
{
}

void Committer::commit(const Commit &commit, const Callback &done)
{
    m_store.read(headKey, [this, commit, done](const Result<std::optional<Row>> &result) {
        if (!result) {
            done(Error {ErrorCode::Unavailable, result.error().message});
            return;
        }
        onHeadRead(commit, result.value(), done);
    });
}

void Committer::onHeadRead(const Commit &commit, const std::optional<Row> &row, const Callback &done)
{
    HeadRecord head;
    if (row) {
        const auto decoded = decodeRecord<HeadRecord>(row->value);
        if (!decoded) {
            done(Error {ErrorCode::Unavailable, decoded.error().message});
            return;
        }
        head = decoded.value();
    }
    if (head.revision != commit.base || m_distribution.revision() != commit.base) {
        m_distribution.pollNow();
        done(Error {ErrorCode::Conflict,
                    "revision " + std::to_string(head.revision) + " is accepted, and the change was computed against "
                        + std::to_string(commit.base)});
        return;
    }
    const Configuration empty;
    const auto current = m_distribution.current();
    const auto &base = current ? *current : empty;
    PreparedCommit prepared;
    prepared.commit = commit;
    prepared.next = applied(base, commit.change);
    prepared.delta = {commit.change, hashAfter(m_distribution.hash(), base, commit.change)};
    prepared.deltaBytes = encodeDelta(prepared.delta);
    prepared.head = head;
    prepared.head.revision = prepared.next.revision;
    prepared.head.hash = prepared.delta.hash;
    prepared.headVersion = row ? row->version : 0;
    if (isSnapshotNeeded(prepared.deltaBytes) || isSnapshotDue(prepared.head)) {
        putSnapshot(prepared, done);
    } else {
        write(prepared, done);
    }
}

void Committer::putSnapshot(const PreparedCommit &prepared, const Callback &done)
{
    const auto name = "configuration-" + paddedText(prepared.head.revision) + "-" + std::to_string(prepared.head.hash);
    const auto bytes = encodeSnapshot({prepared.next, prepared.head.hash});
    m_store.put(name, bytes, [this, prepared, done, name](const Result<void> &result) {
        auto next = prepared;
        if (result) {
            next.head.snapshot = next.head.revision;
            next.head.snapshotObject = name;
        } else if (isSnapshotNeeded(prepared.deltaBytes)) {
            done(Error {ErrorCode::Unavailable, "the object store: " + result.error().message});
            return;
        }
        write(next, done);
    });
}

void Committer::write(const PreparedCommit &prepared, const Callback &done)
{
    auto rows = prepared.commit.rows;
    const auto revision = prepared.head.revision;
    rows.push_back({headKey, encodeRecord(prepared.head), prepared.headVersion});
    if (!isSnapshotNeeded(prepared.deltaBytes)) {
        rows.push_back({deltaPrefix + paddedText(revision), prepared.deltaBytes, 0});
    }
    if (revision > keptDeltas && revision - keptDeltas <= prepared.head.snapshot) {
        rows.push_back({deltaPrefix + paddedText(revision - keptDeltas), std::nullopt, std::nullopt});
    }
    m_store.write(rows, [this, delta = prepared.delta, revision, done](const Result<void> &result) {
        if (!result) {
            m_distribution.pollNow();
            done(result.error());
            return;
        }
        if (m_distribution.revision() + 1 == revision) {
            m_distribution.onCommitted(delta);
        }
        done(revision);
    });
}

} // namespace monsoonward
