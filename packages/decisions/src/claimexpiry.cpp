#include "claimexpiry.h"

#include "claimrow.h"

#include <cstdlib>

namespace monsoonward
{

namespace
{

constexpr Duration epochLength = std::chrono::minutes(10);
constexpr std::uint64_t epochsKept = 145; // a day of 10-minute epochs, and one more for the current epoch
constexpr Duration readInterval = std::chrono::minutes(1);
constexpr Duration initialReadInterval = std::chrono::milliseconds(200);
constexpr std::size_t scanPageSize = 500; // rows per scan
const char *const epochKey = "claim-epoch";

} // namespace

IdempotencyRowExpiry::IdempotencyRowExpiry(const Clock &clock, TableService &table)
    : m_clock(clock)
    , m_table(table)
    , m_lastReadAt(clock.now() - readInterval)
{
}

void IdempotencyRowExpiry::tick()
{
    const auto now = m_clock.now();
    if (m_callPending || now - m_lastReadAt < (m_epoch ? readInterval : initialReadInterval)) {
        return;
    }
    m_lastReadAt = now;
    readEpoch();
}

std::optional<std::uint64_t> IdempotencyRowExpiry::epoch() const
{
    return m_epoch;
}

Duration IdempotencyRowExpiry::rowLifetime()
{
    return epochLength * (epochsKept - 1);
}

void IdempotencyRowExpiry::readEpoch()
{
    m_callPending = true;
    m_table.read(epochKey, [this, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        m_callPending = false;
        if (result) {
            onEpochRow(result.value());
        }
    });
}

void IdempotencyRowExpiry::onEpochRow(const std::optional<Row> &row)
{
    const auto epoch = row ? std::strtoull(row->value.c_str(), nullptr, 10) : 0;
    m_epochVersion = row ? row->version : 0;
    if (!m_epoch || epoch != *m_epoch) {
        m_epoch = epoch;
        m_epochSince = m_clock.now();
    } else if (m_clock.now() - m_epochSince >= epochLength) {
        advanceEpoch();
    }
}

void IdempotencyRowExpiry::advanceEpoch()
{
    const auto next = *m_epoch + 1;
    m_callPending = true;
    const RowWrite write {epochKey, std::to_string(next), m_epochVersion};
    m_table.write({write}, [this, next, alive = Alive(m_alive)](const Result<void> &result) {
        if (alive.expired()) {
            return;
        }
        m_callPending = false;
        if (result) {
            m_epoch = next;
            m_epochSince = m_clock.now();
            scanForExpired({});
        }
    });
}

void IdempotencyRowExpiry::scanForExpired(const std::string &after)
{
    if (*m_epoch < epochsKept) {
        return;
    }
    m_table.scan(idempotencyRowPrefix,
                 after,
                 scanPageSize,
                 [this, alive = Alive(m_alive)](const Result<std::vector<Row>> &rows) {
                     if (alive.expired() || !rows || rows.value().empty()) {
                         return;
                     }
                     deleteExpired(rows.value());
                     scanForExpired(rows.value().back().key);
                 });
}

void IdempotencyRowExpiry::deleteExpired(const std::vector<Row> &rows)
{
    for (const auto &it : rows) {
        const auto row = decodeIdempotencyRow(it.value);
        if (row && row->epoch + epochsKept <= *m_epoch) {
            m_table.write({{it.key, std::nullopt, it.version}}, [](const Result<void> &) {});
        }
    }
}

} // namespace monsoonward
