#pragma once

#include "claimrow.h"

#include <monsoonward/stores/stores.h>

#include <map>
#include <memory>

namespace monsoonward
{

/// @brief Moves rows that this entry holds to Released or Completed, in the background and in groups. A row that isn't
/// held by the request any more is left alone, so a late or repeated update harms nothing.
class RowUpdates
{
public:
    RowUpdates(const Clock &clock, TableService &table);

    void add(const std::string &key, const RequestId &holder, ClaimRowState state);
    /// @return whether the request's row is to be released and that isn't done yet
    bool releasing(const RequestId &holder) const;
    bool empty() const;
    std::size_t size() const;
    void tick();

private:
    using Alive = std::weak_ptr<int>;

    struct RowOf
    {
        RequestId holder;
        std::string key;
        MONSOONWARD_FIELDS(holder, key)
    };
    struct Update
    {
        ClaimRowState state = ClaimRowState::Released;
        bool busy = false;
        TimePoint tryAt {};
    };
    struct Ready
    {
        RowOf row;
        RowWrite write;
    };

    void readRow(const RowOf &which);
    void onRow(const RowOf &which, const Result<std::optional<Row>> &result);
    void flush();
    void onWritten(const std::vector<RowOf> &rows, bool done);
    void retryLater(const RowOf &which);

    const Clock &m_clock;
    TableService &m_table;
    std::map<RowOf, Update> m_updates;
    std::vector<Ready> m_ready;
    bool m_writing = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
