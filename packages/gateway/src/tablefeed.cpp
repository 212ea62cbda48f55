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
                     std::unique_ptr<RowStore> probeStore,
                     StoreEraTracker &eras,
                     std::string table,
                     Duration pollTime,
                     Duration changeDelay,
                     TableFeedHandler &handler)
    : m_clock(clock)
    , m_store(std::move(store))
    , m_probeStore(std::move(probeStore))
    , m_eras(eras)
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

bool TableFeed::isReceiving() const
{
    return m_version && (m_store->isReceiving() || m_probeStore->isReceiving());
}

std::uint64_t TableFeed::newestRowVersion() const
{
    return m_newestRowVersion;
}

std::uint64_t TableFeed::readUpTo() const
{
    return m_era.value_or(0) == m_eras.current() ? m_readUpTo : 0;
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

void TableFeed::readAgain(ListCause cause)
{
    m_version.reset();
    m_listCause = cause;
    m_newestRowVersion = 0;
    m_readUpTo = 0;
    continueReading();
}

TableFeed::EraCheck TableFeed::checkEra(const RowPage &page)
{
    if (page.isEraMalformed) {
        m_handler.eraMalformed(m_table);
    }
    if (!page.era) {
        return EraCheck::Valid;
    }
    const auto change = m_eras.observe(*page.era, m_clock.now());
    if (change == EraChange::Former) {
        return EraCheck::Former;
    }
    if (change == EraChange::Restored) {
        m_handler.storeRestored(*page.era);
    }
    const bool isValid = !m_era || *m_era == *page.era;
    m_era = page.era;
    return isValid ? EraCheck::Valid : EraCheck::CursorInvalid;
}

ReadTime TableFeed::readTime(const RowPage &page, TimePoint startedAt) const
{
    return {startedAt, m_clock.now(), m_era.value_or(0), page.storeTimeMs, page.version};
}

// ---- reading the whole table

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
    const auto &value = page.value();
    const bool isFirst = m_rows.empty();
    switch (checkEra(value)) {
    case EraCheck::Former:
        onFailed({ErrorCode::Unavailable, "the answer was given before the store was restored"});
        return;
    case EraCheck::CursorInvalid:
        m_listCause = ListCause::StoreRestored;
        if (!isFirst) {
            continueReading(); // the first pages are from before the restore
            return;
        }
        break;
    case EraCheck::Valid:
        break;
    }
    m_firstPageVersion = isFirst ? value.version : m_firstPageVersion;
    m_rows.insert(m_rows.end(), value.rows.begin(), value.rows.end());
    if (value.hasMore && !value.rows.empty()) {
        list(value.rows.back().key + " "); // the first key that sorts after the last one
        return;
    }
    // Changes made between reading the first and the last page are reported again by polls from the first page's
    // version.
    m_version = m_firstPageVersion;
    m_readUpTo = m_firstPageVersion;
    m_failures = 0;
    for (const auto &it : m_rows) {
        m_newestRowVersion = std::max(m_newestRowVersion, it.version);
    }
    m_handler.storeAnswered(m_table);
    m_handler.rowsListed(m_table, m_rows, m_listCause);
    m_handler.upToDate(m_table, readTime(value, m_callStartedAt));
    m_rows.clear();
    follow();
}

// ---- following changes

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
    switch (checkEra(value)) {
    case EraCheck::Former:
        onFailed({ErrorCode::Unavailable, "the answer was given before the store was restored"});
        return;
    case EraCheck::CursorInvalid:
        readAgain(ListCause::StoreRestored);
        return;
    case EraCheck::Valid:
        break;
    }
    m_failures = 0;
    m_handler.storeAnswered(m_table);
    reportChanges(value, m_callStartedAt);
    if (value.rows.empty()) {
        follow();
    } else {
        continueAfter(m_changeDelay);
    }
}

void TableFeed::reportChanges(const RowPage &page, TimePoint startedAt)
{
    m_version = std::max(*m_version, page.version);
    m_readUpTo = std::max(m_readUpTo, page.version);
    if (!page.rows.empty()) {
        for (const auto &it : page.rows) {
            m_newestRowVersion = std::max(m_newestRowVersion, it.version);
        }
        m_handler.rowsChanged(m_table, page.rows);
    }
    m_handler.upToDate(m_table, readTime(page, startedAt));
}

bool TableFeed::pollNow()
{
    if (!m_version || m_failures > 0) {
        return false; // the whole table is being read, or the poll that follows a failure doesn't wait either
    }
    if (m_isProbing || m_store->isReceiving()) {
        return true; // this poll would ask for the same changes a second time
    }
    m_isProbing = true;
    m_probeStore->follow(
        m_table,
        *m_version,
        Duration::zero(),
        [this, alive = m_isAlive, version = *m_version, startedAt = m_clock.now()](const Result<RowPage> &page) {
            if (*alive) {
                m_isProbing = false;
                onProbed(page, version, startedAt);
            }
        });
    return true;
}

void TableFeed::onProbed(const Result<RowPage> &page, std::uint64_t version, TimePoint startedAt)
{
    if (m_version != version || m_failures > 0) {
        return; // the long poll has been answered or has failed meanwhile
    }
    if (!page && m_store->isReceiving()) {
        return;
    }
    if (!page) {
        m_store->cancel();
        onFailed(page.error());
        return;
    }
    const auto &value = page.value();
    const auto era = checkEra(value);
    if (era == EraCheck::Former) {
        return;
    }
    if (era == EraCheck::CursorInvalid) {
        m_store->cancel();
        readAgain(ListCause::StoreRestored);
        return;
    }
    m_handler.storeAnswered(m_table);
    if (value.rows.empty()) {
        m_readUpTo = std::max(m_readUpTo, value.version);
        m_handler.upToDate(m_table, readTime(value, startedAt));
        return;
    }
    m_store->cancel(); // its answer would repeat these rows
    reportChanges(value, startedAt);
    continueAfter(m_changeDelay);
}

// ---- failures and pauses

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
        readAgain(ListCause::HistoryLost);
        return;
    }
    constexpr unsigned maxDoublings = 5;
    const auto pause = std::min(minRetryDelay * (1U << std::min(m_failures, maxDoublings)), maxRetryDelay);
    ++m_failures;
    m_handler.storeFailed(m_table, error);
    continueAfter(pause);
}

} // namespace monsoonward
