#pragma once

#include "monsoonward/daemon/metrics.h"

#include <monsoonward/stores/stores.h>

namespace monsoonward
{

/// @brief Forwards calls to a table service and records the result and duration of each in the metrics.
class CountingTable : public TableService
{
public:
    /// All three arguments must outlive the last callback.
    CountingTable(TableService &table, const Clock &clock, Metrics &metrics);

    void read(const std::string &key, ReadCallback done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) override;
    void write(const std::vector<RowWrite> &writes, WriteCallback done) override;

private:
    template<class Answer>
    std::function<void(Answer)> wrapCallback(const char *call, std::function<void(Answer)> done);

    TableService &m_table;
    const Clock &m_clock;
    Metrics &m_metrics;
};

} // namespace monsoonward
