#include "countingtable.h"

namespace monsoonward
{

CountingTable::CountingTable(TableService &table, const Clock &clock, Metrics &metrics)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
{
}

template<class Answer>
std::function<void(Answer)> CountingTable::wrapCallback(const char *call, std::function<void(Answer)> done)
{
    const auto begin = m_clock.now();
    return [this, call, begin, done = std::move(done)](const Answer &answer) {
        // A conflict counts as success: the service answered, only the condition of the write did not hold.
        const bool answered = answer.has_value() || answer.error().code == ErrorCode::Conflict;
        m_metrics.recordStoreCall(call, answered, m_clock.now() - begin);
        done(answer);
    };
}

void CountingTable::read(const std::string &key, ReadCallback done)
{
    m_table.read(key, wrapCallback("read", std::move(done)));
}

void CountingTable::scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done)
{
    m_table.scan(prefix, after, limit, wrapCallback("scan", std::move(done)));
}

void CountingTable::write(const std::vector<RowWrite> &writes, WriteCallback done)
{
    m_table.write(writes, wrapCallback("write", std::move(done)));
}

} // namespace monsoonward
