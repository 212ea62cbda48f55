#include "tablefeed.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration firstRetry = std::chrono::milliseconds(20); // a connection that was closed while idle is no outage
constexpr Duration longestRetry = std::chrono::milliseconds(640); // bounds the time to notice the store's return

} // namespace

TableFeed::TableFeed(boost::asio::io_context &io,
                     const Clock &clock,
                     std::unique_ptr<RowStore> store,
                     std::string table,
                     Duration wait,
                     Duration changePause,
                     TableFeedHandler &handler)
    : m_clock(clock)
    , m_store(std::move(store))
    , m_table(std::move(table))
    , m_wait(wait)
    , m_changePause(changePause)
    , m_handler(handler)
    , m_retry(io)
{
}

TableFeed::~TableFeed()
{
    *m_alive = false;
}

void TableFeed::start()
{
    next();
}

void TableFeed::setWait(Duration wait)
{
    m_wait = wait;
}

void TableFeed::next()
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
        m_started = m_clock.now();
    }
    m_store->list(m_table, from, [this, alive = m_alive](const Result<RowPage> &page) {
        if (*alive) {
            listed(page);
        }
    });
}

void TableFeed::listed(const Result<RowPage> &page)
{
    if (!page) {
        failed(page.error());
        return;
    }
    const bool isFirst = m_rows.empty();
    const auto &value = page.value();
    m_firstPageVersion = isFirst ? value.version : m_firstPageVersion;
    m_rows.insert(m_rows.end(), value.rows.begin(), value.rows.end());
    if (value.hasMore && !value.rows.empty()) {
        list(value.rows.back().key + " "); // no key lies between the last one and this
        return;
    }
    // Changes between the pages come again from the first page's version on.
    m_version = m_firstPageVersion;
    m_failures = 0;
    m_handler.storeAnswered(m_table);
    m_handler.rowsListed(m_table, m_rows);
    m_handler.upToDate(m_table, m_started);
    m_rows.clear();
    follow();
}

void TableFeed::follow()
{
    m_started = m_clock.now();
    // After a failure the first call doesn't wait: it tells at once what was missed.
    const auto wait = m_failures == 0 ? m_wait : Duration::zero();
    m_store->follow(m_table, *m_version, wait, [this, alive = m_alive](const Result<RowPage> &page) {
        if (*alive) {
            followed(page);
        }
    });
}

void TableFeed::followed(const Result<RowPage> &page)
{
    if (!page) {
        failed(page.error());
        return;
    }
    const auto &value = page.value();
    m_version = std::max(*m_version, value.version);
    m_failures = 0;
    m_handler.storeAnswered(m_table);
    if (!value.rows.empty()) {
        m_handler.rowsChanged(m_table, value.rows);
    }
    m_handler.upToDate(m_table, m_started);
    if (value.rows.empty()) {
        follow();
    } else {
        after(m_changePause);
    }
}

void TableFeed::after(Duration pause)
{
    m_retry.expires_after(pause);
    m_retry.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive) {
            next();
        }
    });
}

void TableFeed::failed(const Error &error)
{
    if (error.code == ErrorCode::NotFound) {
        m_version.reset();
        next();
        return;
    }
    constexpr unsigned mostDoublings = 5;
    const auto pause = std::min(firstRetry * (1U << std::min(m_failures, mostDoublings)), longestRetry);
    ++m_failures;
    m_handler.storeFailed(m_table, error);
    after(pause);
}

} // namespace monsoonward
