#pragma once

#include "monsoonward/gateway/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace monsoonward
{

/// @brief Receives the rows and the state of a TableFeed.
class TableFeedHandler
{
public:
    virtual ~TableFeedHandler() = default;
    /// The whole table was read: it holds exactly @p rows.
    virtual void rowsListed(const std::string &table, const std::vector<TableRow> &rows) = 0;
    /// These rows were written or deleted since the last call.
    virtual void rowsChanged(const std::string &table, const std::vector<TableRow> &rows) = 0;
    /// All changes that the store accepted before @p startedAt have been reported.
    virtual void upToDate(const std::string &table, TimePoint startedAt) = 0;
    /// A read or poll has succeeded. Its rows are reported next.
    virtual void storeAnswered(const std::string &table) = 0;
    /// A read or poll has failed. It is retried.
    virtual void storeFailed(const std::string &table, const Error &error) = 0;
};

/// @brief Follows one table of the store: reads all of it, then long-polls for changes. If the store no longer has the
/// history needed, the table is read again.
class TableFeed
{
public:
    /// @param pollTime how long a long poll waits for a change
    /// @param changeDelay time from a change to the next poll; changes often come in bursts, and one poll returns
    /// several
    TableFeed(boost::asio::io_context &io,
              const Clock &clock,
              std::unique_ptr<RowStore> store,
              std::string table,
              Duration pollTime,
              Duration changeDelay,
              TableFeedHandler &handler);
    ~TableFeed();
    TableFeed(const TableFeed &) = delete;
    TableFeed &operator=(const TableFeed &) = delete;

    void start();
    /// Changes the poll time, from the next poll on.
    void setPollTime(Duration pollTime);

private:
    void list(const std::string &from);
    void onListed(const Result<RowPage> &page);
    void follow();
    void onFollowed(const Result<RowPage> &page);
    void onFailed(const Error &error);
    void continueReading();
    void continueAfter(Duration pause);

    const Clock &m_clock;
    std::unique_ptr<RowStore> m_store;
    std::string m_table;
    Duration m_pollTime;
    Duration m_changeDelay;
    TableFeedHandler &m_handler;
    boost::asio::steady_timer m_timer;
    std::vector<TableRow> m_rows; // rows of the pages read so far
    std::optional<std::uint64_t> m_version; // empty if the whole table must be read
    std::uint64_t m_firstPageVersion = 0;
    TimePoint m_callStartedAt;
    unsigned m_failures = 0; // consecutive ones
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace monsoonward
