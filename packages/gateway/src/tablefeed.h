#pragma once

#include "monsoonward/gateway/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace monsoonward
{

/// @brief Receives what a TableFeed learns.
class TableFeedHandler
{
public:
    virtual ~TableFeedHandler() = default;
    /// The table holds exactly @p rows.
    virtual void rowsListed(const std::string &table, const std::vector<TableRow> &rows) = 0;
    virtual void rowsChanged(const std::string &table, const std::vector<TableRow> &rows) = 0;
    /// All changes that were accepted before @p startedAt have been reported.
    virtual void upToDate(const std::string &table, TimePoint startedAt) = 0;
    /// A call that began at @p startedAt has succeeded; its rows follow.
    virtual void storeAnswered(const std::string &table) = 0;
    virtual void storeFailed(const std::string &table, const Error &error) = 0;
};

/// @brief Follows one table of the store: reads it whole, then waits for changes with one call after the other. When
/// the history is gone the table is read again.
class TableFeed
{
public:
    /// @param pollTime length of a waiting call when nothing changes
    /// @param changeDelay after a change until the next call: changes often come in series, and one call brings several
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
    /// Sets the length of the waiting calls from the next one on.
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
    std::vector<TableRow> m_rows; // of the pages so far
    std::optional<std::uint64_t> m_version; // nothing: the table must be read whole
    std::uint64_t m_firstPageVersion = 0;
    TimePoint m_callStartedAt;
    unsigned m_failures = 0; // in a row
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace monsoonward
