#pragma once

#include "monsoonward/gateway/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace monsoonward
{

/// @brief When a call read the store.
struct ReadTime
{
    TimePoint startedAt; ///< all changes accepted before it were read
    TimePoint answeredAt;
    StoreEra era = 0;
    std::int64_t storeTimeMs = 0; ///< store time of the answer; 0 if not stated
    std::uint64_t storeVersion = 0; ///< version of the whole store when it answered
    MONSOONWARD_FIELDS(startedAt, answeredAt, era, storeTimeMs, storeVersion)
};

/// @brief Why a whole table was read.
enum class ListCause {
    Start,
    HistoryLost, ///< the store no longer had the changes since the last poll
    StoreRestored, ///< the rows may be older than those known before
};

/// @brief Receives the rows and the state of a TableFeed.
class TableFeedHandler
{
public:
    virtual ~TableFeedHandler() = default;
    /// The whole table was read: it holds exactly @p rows.
    virtual void rowsListed(const std::string &table, const std::vector<TableRow> &rows, ListCause cause) = 0;
    /// These rows were written or deleted since the last call.
    virtual void rowsChanged(const std::string &table, const std::vector<TableRow> &rows) = 0;
    /// All changes that the store accepted before the call began have been reported.
    virtual void upToDate(const std::string &table, const ReadTime &read) = 0;
    /// A read or poll has succeeded. Its rows are reported next.
    virtual void storeAnswered(const std::string &table) = 0;
    /// A read or poll has failed. It is retried.
    virtual void storeFailed(const std::string &table, const Error &error) = 0;
    /// The store was restored from a copy. Every table is read again.
    virtual void storeRestored(StoreEra era) = 0;
    /// An answer states an era that is no number.
    virtual void eraMalformed(const std::string &table) = 0;
};

/// @brief Follows one table of the store: reads all of it, then long-polls for changes. If the store no longer has the
/// history needed, or was restored from a copy, the table is read again.
class TableFeed
{
public:
    /// @param store for the long poll
    /// @param probeStore for calls while the long poll waits
    /// @param eras shared by all feeds of the process
    /// @param pollTime how long a long poll waits for a change
    /// @param changeDelay time from a change to the next poll; changes often come in bursts, and one poll returns
    /// several
    TableFeed(boost::asio::io_context &io,
              const Clock &clock,
              std::unique_ptr<RowStore> store,
              std::unique_ptr<RowStore> probeStore,
              StoreEraTracker &eras,
              std::string table,
              Duration pollTime,
              Duration changeDelay,
              TableFeedHandler &handler);
    ~TableFeed();
    TableFeed(const TableFeed &) = delete;
    TableFeed &operator=(const TableFeed &) = delete;

    void start();
    /// Asks for changes at once, while the long poll goes on: to renew the proof that nothing has changed, to find out
    /// whether the long poll still works, or because another gateway has seen a change. Does nothing while changes are
    /// arriving.
    /// @return whether an answer is awaited; not while the table can't be read, or is read as a whole
    bool pollNow();
    /// @return whether an answer about changes has begun to arrive
    bool isReceiving() const;
    /// @return the newest row version seen in the table; comparable within one era only
    std::uint64_t newestRowVersion() const;
    /// @return the version of the store up to which all changes of the table have been read in the current era
    std::uint64_t readUpTo() const;

private:
    enum class EraCheck { Valid, Former, CursorInvalid };

    void list(const std::string &from);
    void onListed(const Result<RowPage> &page);
    void follow();
    void onFollowed(const Result<RowPage> &page);
    void onProbed(const Result<RowPage> &page, std::uint64_t version, TimePoint startedAt);
    EraCheck checkEra(const RowPage &page);
    void reportChanges(const RowPage &page, TimePoint startedAt);
    void readAgain(ListCause cause);
    void onFailed(const Error &error);
    void continueReading();
    void continueAfter(Duration pause);
    ReadTime readTime(const RowPage &page, TimePoint startedAt) const;

    const Clock &m_clock;
    std::unique_ptr<RowStore> m_store;
    std::unique_ptr<RowStore> m_probeStore;
    StoreEraTracker &m_eras;
    std::string m_table;
    Duration m_pollTime;
    Duration m_changeDelay;
    TableFeedHandler &m_handler;
    boost::asio::steady_timer m_timer;
    std::vector<TableRow> m_rows; // rows of the pages read so far
    std::optional<std::uint64_t> m_version; // empty if the whole table must be read
    std::optional<StoreEra> m_era; // that m_version belongs to
    ListCause m_listCause = ListCause::Start;
    std::uint64_t m_firstPageVersion = 0;
    std::uint64_t m_newestRowVersion = 0;
    std::uint64_t m_readUpTo = 0;
    TimePoint m_callStartedAt;
    bool m_isProbing = false;
    unsigned m_failures = 0; // consecutive ones
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace monsoonward
