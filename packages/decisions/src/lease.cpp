#include "monsoonward/decisions/lease.h"

namespace monsoonward
{

namespace
{

constexpr Duration leaseLength = std::chrono::seconds(6);
constexpr Duration renewInterval = std::chrono::seconds(2);
constexpr Duration takeOverAfter = std::chrono::seconds(9); // without a change of the row; longer than the lease
constexpr Duration pollInterval = std::chrono::milliseconds(500);
const char *const freeValue = "free";

} // namespace

Lease::Lease(const std::string &name, const Peer &own, const Clock &clock, TableService &table, EventLog &events)
    : m_name(name)
    , m_own(own)
    , m_clock(clock)
    , m_table(table)
    , m_events(events)
{
}

Lease::~Lease() = default;

void Lease::acquire()
{
    m_wanted = true;
    m_nextCallAt = m_clock.now();
    tick();
}

void Lease::release()
{
    m_wanted = false;
    m_token.reset();
    if (!m_callPending) {
        read(); // onRow() frees the row if this process holds it
    }
}

std::optional<FencingToken> Lease::fencingToken() const
{
    return isCurrent() ? m_token : std::nullopt;
}

void Lease::tick()
{
    if (m_token && !isCurrent()) {
        markLost("not renewed in time");
    }
    if (!m_wanted || m_callPending || m_clock.now() < m_nextCallAt) {
        return;
    }
    if (m_token) {
        write(nextValue());
    } else {
        read();
    }
}

std::string Lease::rowKey(const std::string &name)
{
    return "lease/" + name;
}

Duration Lease::length()
{
    return leaseLength;
}

void Lease::read()
{
    m_callPending = true;
    m_table.read(rowKey(m_name), [this, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        m_callPending = false;
        m_nextCallAt = m_clock.now() + pollInterval;
        if (result) {
            onRow(result.value());
        }
    });
}

void Lease::onRow(const std::optional<Row> &row)
{
    const auto version = row ? row->version : 0;
    if (version != m_rowVersion) {
        m_rowVersion = version;
        m_versionSince = m_clock.now();
    }
    if (!m_wanted) {
        freeOwnRow(row);
        return;
    }
    if (row && row->value == m_lastValue) {
        onOwnRow();
    } else if (row && isOwnValue(row->value)) {
        write(nextValue()); // the last write failed
    } else {
        onRowOfOther(row);
    }
}

void Lease::freeOwnRow(const std::optional<Row> &row)
{
    if (row && isOwnValue(row->value)) {
        m_table.write({{rowKey(m_name), std::string(freeValue), row->version}}, [](const Result<void> &) {});
    }
}

void Lease::onOwnRow()
{
    if (m_clock.now() - m_lastWriteAt >= leaseLength) {
        write(nextValue()); // the lease of this write has already expired
        return;
    }
    if (!m_token) {
        m_events.record(
            Event::LeaseAcquired, Severity::Info, m_name + ", fencing token " + std::to_string(m_rowVersion));
    }
    m_token = m_rowVersion;
    m_validFrom = m_lastWriteAt;
    m_nextCallAt = m_lastWriteAt + renewInterval;
}

void Lease::onRowOfOther(const std::optional<Row> &row)
{
    if (m_token) {
        markLost("held by another process");
    }
    const bool free = !row || row->value == freeValue || m_clock.now() - m_versionSince >= takeOverAfter;
    if (free) {
        write(nextValue());
    }
}

void Lease::write(const std::string &value)
{
    m_callPending = true;
    m_lastValue = value;
    m_lastWriteAt = m_clock.now();
    m_table.write({{rowKey(m_name), value, m_rowVersion}}, [this, alive = Alive(m_alive)](const Result<void> &) {
        if (!alive.expired()) {
            read(); // the row shows who holds the lease, even if the write's answer was lost
        }
    });
}

bool Lease::isCurrent() const
{
    return m_token && m_clock.now() < m_validFrom + leaseLength;
}

bool Lease::isOwnValue(const std::string &value) const
{
    const auto own = textOf(m_own.incarnation) + " ";
    return value.compare(0, own.size(), own) == 0;
}

void Lease::markLost(const std::string &why)
{
    m_token.reset();
    m_events.record(Event::LeaseLost, Severity::Warning, m_name + ": " + why);
}

std::string Lease::nextValue()
{
    return textOf(m_own.incarnation) + " " + std::to_string(++m_writeCount);
}

} // namespace monsoonward
