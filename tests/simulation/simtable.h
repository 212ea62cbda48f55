#pragma once

#include "simprocess.h"

#include "fleet.h"

#include <monsoonward/stores/stores.h>

namespace monsoonward
{

/// @brief The fleet's table service with its current fault.
struct SimStore
{
    FakeTable table;
    StoreState state = StoreState::Up;
};

/// @brief One process's client of the table service. Calls and answers are delayed; a call that timed out may still
/// take effect later.
class SimTable : public TableService
{
public:
    SimTable(EventQueue &queue, SimStore &store, Random &random);

    /// Sets the process that runs the callbacks. Required before the first call.
    void setProcess(const std::weak_ptr<SimProcess> &process);
    void read(const std::string &key, ReadCallback done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) override;
    void write(const std::vector<RowWrite> &writes, WriteCallback done) override;

private:
    template<class Answer, class Call>
    void call(const Answer &timedOut, const std::function<void(Answer)> &done, Call call);

    EventQueue &m_queue;
    SimStore &m_store;
    Random &m_random;
    std::weak_ptr<SimProcess> m_process;
};

} // namespace monsoonward
