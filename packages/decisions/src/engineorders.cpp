#include "monsoonward/decisions/engineorders.h"

#include <utility>

namespace monsoonward
{

std::string textOf(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::LoadModel:
        return "load-model";
    case EngineOrderKind::UnloadModel:
        return "unload-model";
    case EngineOrderKind::LoadAdapter:
        return "load-adapter";
    case EngineOrderKind::UnloadAdapter:
        return "unload-adapter";
    case EngineOrderKind::LoadVersion:
        return "load-version";
    case EngineOrderKind::UnloadVersion:
        return "unload-version";
    case EngineOrderKind::ChangeRole:
        return "change-role";
    case EngineOrderKind::CancelRun:
        return "cancel-run";
    }
    return {};
}

GuardedEngineOrders::GuardedEngineOrders(OrderGate &gate, EngineOrders &engines)
    : m_gate(gate)
    , m_engines(engines)
{
}

void GuardedEngineOrders::give(const EngineOrder &order, Callback done)
{
    const auto admitted = m_gate.admit(order.number);
    if (!admitted) {
        done(admitted.error());
        return;
    }
    m_engines.give(order, std::move(done));
}

LeasedEngineOrders::LeasedEngineOrders(const Lease &lease, EngineOrders &target)
    : m_lease(lease)
    , m_target(target)
{
}

void LeasedEngineOrders::give(EngineOrder order, EngineOrders::Callback done)
{
    const auto number = m_lease.fencingNumber();
    if (!number) {
        done(Error {ErrorCode::Denied,
                    textOf(order.kind) + " for engine \"" + order.engine.text() + "\": the lease is not held"});
        return;
    }
    order.number = *number;
    m_target.give(order, std::move(done));
}

FakeEngineOrders::FakeEngineOrders(bool checksFencing)
    : m_checksFencing(checksFencing)
{
}

void FakeEngineOrders::give(const EngineOrder &order, Callback done)
{
    if (m_checksFencing && order.number < m_highest) {
        done(Error {ErrorCode::Denied, "engine \"" + order.engine.text() + "\" has seen a newer fencing number"});
        return;
    }
    m_highest = order.number;
    m_done.push_back(order);
    done(boost::outcome_v2::success());
}

const std::vector<EngineOrder> &FakeEngineOrders::done() const
{
    return m_done;
}

} // namespace monsoonward
