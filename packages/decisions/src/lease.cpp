#include "monsoonward/decisions/lease.h"

namespace monsoonward
{

namespace
{

constexpr Duration leaseLength = std::chrono::seconds(6);
constexpr Duration renewInterval = std::chrono::seconds(2);
constexpr Duration takeOverAfter = std::chrono::seconds(9); // of an unchanged row; longer than the lease
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
    m_nextAt = m_clock.now();
    tick();
}

void Lease::release()
{
    m_wanted = false;
    m_number.reset();
    if (!m_busy) {
        read(); // frees the row if it is ours
    }
}

std::optional<FencingNumber> Lease::fencingNumber() const
{
    return current() ? m_number : std::nullopt;
}

void Lease::tick()
{
    if (m_number && !current()) {
        lose("it was not renewed in time");
    }
    if (!m_wanted || m_busy || m_clock.now() < m_nextAt) {
        return;
    }
    if (m_number) {
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
    m_busy = true;
    m_table.read(rowKey(m_name), [this, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        m_busy = false;
        m_nextAt = m_clock.now() + pollInterval;
        if (result) {
            onRow(result.value());
        }
    });
}

void Lease::onRow(const std::optional<Row> &row)
{
    const auto version = row ? row->version : 0;
    if (version != m_version) {
        m_version = version;
        m_seenAt = m_clock.now();
    }
    if (!m_wanted) {
        freeOwnRow(row);
        return;
    }
    if (row && row->value == m_written) {
        onOwnRow();
    } else if (row && writtenHere(row->value)) {
        write(nextValue()); // the last write came to nothing
    } else {
        onOthersRow(row);
    }
}

void Lease::freeOwnRow(const std::optional<Row> &row)
{
    if (row && writtenHere(row->value)) {
        m_table.write({{rowKey(m_name), std::string(freeValue), row->version}}, [](const Result<void> &) {});
    }
}

void Lease::onOwnRow()
{
    if (m_clock.now() - m_sentAt >= leaseLength) {
        write(nextValue()); // its answer came too late to be trusted
        return;
    }
    if (!m_number) {
        m_events.record(Event::LeaseAcquired, Severity::Info, m_name + " with number " + std::to_string(m_version));
    }
    m_number = m_version;
    m_validFrom = m_sentAt;
    m_nextAt = m_sentAt + renewInterval;
}

void Lease::onOthersRow(const std::optional<Row> &row)
{
    if (m_number) {
        lose("another holds it");
    }
    const bool free = !row || row->value == freeValue || m_clock.now() - m_seenAt >= takeOverAfter;
    if (free) {
        write(nextValue());
    }
}

void Lease::write(const std::string &value)
{
    m_busy = true;
    m_written = value;
    m_sentAt = m_clock.now();
    m_table.write({{rowKey(m_name), value, m_version}}, [this, alive = Alive(m_alive)](const Result<void> &) {
        if (!alive.expired()) {
            read(); // whatever the answer is, the row says who holds it
        }
    });
}

bool Lease::current() const
{
    return m_number && m_clock.now() < m_validFrom + leaseLength;
}

bool Lease::writtenHere(const std::string &value) const
{
    const auto own = textOf(m_own.incarnation) + " ";
    return value.compare(0, own.size(), own) == 0;
}

void Lease::lose(const std::string &why)
{
    m_number.reset();
    m_events.record(Event::LeaseLost, Severity::Warning, m_name + ": " + why);
}

std::string Lease::nextValue()
{
    return textOf(m_own.incarnation) + " " + std::to_string(++m_writes);
}

} // namespace monsoonward
