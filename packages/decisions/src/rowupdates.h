#pragma once

#include "claimrow.h"

#include <monsoonward/stores/stores.h>

#include <map>
#include <memory>

namespace monsoonward
{

/// @brief Sets rows that requests of this entry hold to Released or Completed, in the background and in batches. Skips
/// a row that the request no longer holds, so late and repeated updates are harmless.
class RowUpdates
{
public:
    RowUpdates(const Clock &clock, TableService &table);

    void add(const std::string &key, const RequestId &holder, IdempotencyRowState state);
    /// @return whether the release of a row of this request is still pending
    bool isReleasing(const RequestId &holder) const;
    bool empty() const;
    std::size_t size() const;
    void tick();

private:
    using Alive = std::weak_ptr<int>;

    struct RowId
    {
        RequestId holder;
        std::string key;
        MONSOONWARD_FIELDS(holder, key)
    };
    struct Update
    {
        IdempotencyRowState state = IdempotencyRowState::Released;
        bool inProgress = false;
        TimePoint nextAttemptAt {};
    };
    struct PendingWrite
    {
        RowId row;
        RowWrite write;
    };

    void readRow(const RowId &rowId);
    void onRow(const RowId &rowId, const Result<std::optional<Row>> &result);
    void writeBatch();
    void onWritten(const std::vector<RowId> &rows, bool done);
    void retryLater(const RowId &rowId);

    const Clock &m_clock;
    TableService &m_table;
    std::map<RowId, Update> m_updates;
    std::vector<PendingWrite> m_pendingWrites;
    bool m_writing = false;
    // Callbacks hold a weak reference, which expires with this object.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
