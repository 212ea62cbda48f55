#include "claimexpiry.h"

#include "claimrow.h"

#include <cstdlib>

namespace monsoonward
{

namespace
{

constexpr Duration epochLength = std::chrono::minutes(10);
constexpr std::uint64_t epochsKept = 145; // one more than a day has
constexpr Duration readInterval = std::chrono::minutes(1);
constexpr Duration firstReadInterval = std::chrono::milliseconds(200);
constexpr std::size_t sweepPage = 500; // rows of one scan
const char *const epochKey = "claim-epoch";

} // namespace

ClaimExpiry::ClaimExpiry(const Clock &clock, TableService &table)
    : m_clock(clock)
    , m_table(table)
    , m_readAt(clock.now() - readInterval)
{
}

void ClaimExpiry::tick()
{
    const auto now = m_clock.now();
    if (m_busy || now - m_readAt < (m_epoch ? readInterval : firstReadInterval)) {
        return;
    }
    m_readAt = now;
    readEpoch();
}

std::optional<std::uint64_t> ClaimExpiry::epoch() const
{
    return m_epoch;
}

Duration ClaimExpiry::claimLifetime()
{
    return epochLength * (epochsKept - 1);
}

void ClaimExpiry::readEpoch()
{
    m_busy = true;
    m_table.read(epochKey, [this, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        m_busy = false;
        if (result) {
            seen(result.value());
        }
    });
}

void ClaimExpiry::seen(const std::optional<Row> &row)
{
    const auto epoch = row ? std::strtoull(row->value.c_str(), nullptr, 10) : 0;
    m_version = row ? row->version : 0;
    if (!m_epoch || epoch != *m_epoch) {
        m_epoch = epoch;
        m_seenAt = m_clock.now();
    } else if (m_clock.now() - m_seenAt >= epochLength) {
        raise();
    }
}

void ClaimExpiry::raise()
{
    const auto next = *m_epoch + 1;
    m_busy = true;
    const RowWrite write {epochKey, std::to_string(next), m_version};
    m_table.write({write}, [this, next, alive = Alive(m_alive)](const Result<void> &result) {
        if (alive.expired()) {
            return;
        }
        m_busy = false;
        if (result) {
            m_epoch = next;
            m_seenAt = m_clock.now();
            sweep({});
        }
    });
}

void ClaimExpiry::sweep(const std::string &after)
{
    if (*m_epoch < epochsKept) {
        return;
    }
    m_table.scan(
        claimRowPrefix, after, sweepPage, [this, alive = Alive(m_alive)](const Result<std::vector<Row>> &rows) {
            if (alive.expired() || !rows || rows.value().empty()) {
                return;
            }
            expire(rows.value());
            sweep(rows.value().back().key);
        });
}

void ClaimExpiry::expire(const std::vector<Row> &rows)
{
    for (const auto &it : rows) {
        const auto row = decodeClaimRow(it.value);
        if (row && row->epoch + epochsKept <= *m_epoch) {
            m_table.write({{it.key, std::nullopt, it.version}}, [](const Result<void> &) {});
        }
    }
}

} // namespace monsoonward
