#include "monsoonward/decisions/ordergate.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration readInterval = std::chrono::milliseconds(500);

} // namespace

OrderGate::OrderGate(const std::string &leaseName, const Clock &clock, TableService &table, EventLog &events)
    : m_leaseName(leaseName)
    , m_clock(clock)
    , m_table(table)
    , m_events(events)
    , m_nextReadAt(clock.now())
{
}

void OrderGate::tick()
{
    if (m_highestToken || m_callPending || m_clock.now() < m_nextReadAt) {
        return;
    }
    m_callPending = true;
    m_nextReadAt = m_clock.now() + readInterval;
    const auto done = [this, alive = std::weak_ptr<int>(m_alive)](const Result<std::optional<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        m_callPending = false;
        if (result) {
            onRow(result.value());
        }
    };
    m_table.read(Lease::rowKey(m_leaseName), done);
}

Result<void> OrderGate::admit(FencingToken token)
{
    if (!m_highestToken) {
        m_events.record(Event::OrderRefused,
                        Severity::Warning,
                        m_leaseName + ": no fencing token has been read from the table yet");
        return Error {ErrorCode::Unavailable, "the fencing token of lease \"" + m_leaseName + "\" is not known yet"};
    }
    if (token < *m_highestToken) {
        m_events.record(
            Event::OrderRefused, Severity::Warning, m_leaseName + ": outdated fencing token " + std::to_string(token));
        return Error {ErrorCode::Denied,
                      "fencing token " + std::to_string(token) + " of lease \"" + m_leaseName + "\" is lower than "
                          + std::to_string(*m_highestToken)};
    }
    m_highestToken = token;
    return boost::outcome_v2::success();
}

void OrderGate::onRow(const std::optional<Row> &row)
{
    m_highestToken = std::max(m_highestToken.value_or(0), row ? row->version : 0);
}

} // namespace monsoonward
