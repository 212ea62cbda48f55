#include "tablefeed.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration minRetryDelay =
    std::chrono::milliseconds(20); // short, as the store may just have closed an idle connection
constexpr Duration maxRetryDelay = std::chrono::milliseconds(640); // limits how late the store's recovery is noticed

} // namespace

TableFeed::TableFeed(boost::asio::io_context &io,
                     const Clock &clock,
                     std::unique_ptr<RowStore> store,
                     std::string table,
                     Duration pollTime,
                     Duration changeDelay,
                     TableFeedHandler &handler)
    : m_clock(clock)
    , m_store(std::move(store))
    , m_table(std::move(table))
    , m_pollTime(pollTime)
    , m_changeDelay(changeDelay)
    , m_handler(handler)
    , m_timer(io)
{
}

TableFeed::~TableFeed()
{
    *m_isAlive = false;
}

void TableFeed::start()
{
    continueReading();
}

void TableFeed::setPollTime(Duration pollTime)
{
    m_pollTime = pollTime;
}

void TableFeed::continueReading()
{
    if (m_version) {
        follow();
    } else {
        m_rows.clear();
        list("");
    }
}

void TableFeed::list(const std::string &from)
{
    if (from.empty()) {
        m_callStartedAt = m_clock.now();
    }
    m_store->list(m_table, from, [this, alive = m_isAlive](const Result<RowPage> &page) {
        if (*alive) {
            onListed(page);
        }
    });
}

void TableFeed::onListed(const Result<RowPage> &page)
{
    if (!page) {
        onFailed(page.error());
        return;
    }
    const bool isFirst = m_rows.empty();
    const auto &value = page.value();
    m_firstPageVersion = isFirst ? value.version : m_firstPageVersion;
    m_rows.insert(m_rows.end(), value.rows.begin(), value.rows.end());
    if (value.hasMore && !value.rows.empty()) {
        list(value.rows.back().key + " "); // the first key that sorts after the last one
        return;
    }
    // Changes made between reading the first and the last page are reported again by polls from the first page's
    // version.
    m_version = m_firstPageVersion;
    m_failures = 0;
    m_handler.storeAnswered(m_table);
    m_handler.rowsListed(m_table, m_rows);
    m_handler.upToDate(m_table, m_callStartedAt);
    m_rows.clear();
    follow();
}

void TableFeed::follow()
{
    m_callStartedAt = m_clock.now();
    // The first poll after a failure doesn't wait, so that it returns at once what was missed.
    const auto pollTime = m_failures == 0 ? m_pollTime : Duration::zero();
    m_store->follow(m_table, *m_version, pollTime, [this, alive = m_isAlive](const Result<RowPage> &page) {
        if (*alive) {
            onFollowed(page);
        }
    });
}

void TableFeed::onFollowed(const Result<RowPage> &page)
{
    if (!page) {
        onFailed(page.error());
        return;
    }
    const auto &value = page.value();
    m_version = std::max(*m_version, value.version);
    m_failures = 0;
    m_handler.storeAnswered(m_table);
    if (!value.rows.empty()) {
        m_handler.rowsChanged(m_table, value.rows);
    }
    m_handler.upToDate(m_table, m_callStartedAt);
    if (value.rows.empty()) {
        follow();
    } else {
        continueAfter(m_changeDelay);
    }
}

void TableFeed::continueAfter(Duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code &ec) {
        if (!ec && *alive) {
            continueReading();
        }
    });
}

void TableFeed::onFailed(const Error &error)
{
    if (error.code == ErrorCode::NotFound) {
        m_version.reset();
        continueReading();
        return;
    }
    constexpr unsigned maxDoublings = 5;
    const auto pause = std::min(minRetryDelay * (1U << std::min(m_failures, maxDoublings)), maxRetryDelay);
    ++m_failures;
    m_handler.storeFailed(m_table, error);
    continueAfter(pause);
}

} // namespace monsoonward
