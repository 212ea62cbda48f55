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

FencedEngineOrderSender::FencedEngineOrderSender(OrderGate &gate, EngineOrderSender &sender)
    : m_gate(gate)
    , m_sender(sender)
{
}

void FencedEngineOrderSender::send(const EngineOrder &order, Callback done)
{
    const auto admitted = m_gate.admit(order.token);
    if (!admitted) {
        done(admitted.error());
        return;
    }
    m_sender.send(order, std::move(done));
}

LeasedEngineOrderSender::LeasedEngineOrderSender(const Lease &lease, EngineOrderSender &sender)
    : m_lease(lease)
    , m_sender(sender)
{
}

void LeasedEngineOrderSender::send(EngineOrder order, EngineOrderSender::Callback done)
{
    const auto token = m_lease.fencingToken();
    if (!token) {
        done(Error {ErrorCode::Denied,
                    textOf(order.kind) + " for engine \"" + order.engine.text() + "\": the lease is not held"});
        return;
    }
    order.token = *token;
    m_sender.send(order, std::move(done));
}

FakeEngineOrderSender::FakeEngineOrderSender(bool checksFencing)
    : m_checksFencing(checksFencing)
{
}

void FakeEngineOrderSender::send(const EngineOrder &order, Callback done)
{
    if (m_checksFencing && order.token < m_highestToken) {
        done(Error {ErrorCode::Denied, "engine \"" + order.engine.text() + "\" has seen a newer fencing token"});
        return;
    }
    m_highestToken = order.token;
    m_executed.push_back(order);
    done(boost::outcome_v2::success());
}

const std::vector<EngineOrder> &FakeEngineOrderSender::executed() const
{
    return m_executed;
}

} // namespace monsoonward
