#pragma once

#include "monsoonward/decisions/ordergate.h"

#include <functional>
#include <string>

namespace monsoonward
{

enum class EngineOrderKind {
    LoadModel,
    UnloadModel,
    LoadAdapter,
    UnloadAdapter,
    LoadVersion,
    UnloadVersion,
    ChangeRole,
    CancelRun,
};

/// @brief An administrative command for one engine.
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::LoadModel;
    EngineName engine;
    std::string subject; ///< the model, adapter, version or role, or the claim whose run to cancel
    FencingToken token = 0; ///< of the lease that the sender holds
    MONSOONWARD_FIELDS(kind, engine, subject, token)
};

/// @return the kind's name, such as "load-model"
std::string textOf(EngineOrderKind kind);

/// @brief Interface for sending orders to engines.
class EngineOrderSender
{
public:
    /// Errors: Denied (the fencing token is outdated) and Unavailable mean that the order was not executed; Unknown
    /// means that it may have been.
    using Callback = std::function<void(Result<void>)>;

    virtual ~EngineOrderSender() = default;
    virtual void send(const EngineOrder &order, Callback done) = 0;
};

/// @brief Passes on only the orders that an OrderGate admits. Every engine needs it, including those that check fencing
/// tokens themselves.
class FencedEngineOrderSender : public EngineOrderSender
{
public:
    FencedEngineOrderSender(OrderGate &gate, EngineOrderSender &sender);
    void send(const EngineOrder &order, Callback done) override;

private:
    OrderGate &m_gate;
    EngineOrderSender &m_sender;
};

/// @brief Adds the fencing token of a lease to each order, and fails the order if the lease isn't held at that moment.
class LeasedEngineOrderSender
{
public:
    LeasedEngineOrderSender(const Lease &lease, EngineOrderSender &sender);
    /// @param order its token is set here
    void send(EngineOrder order, EngineOrderSender::Callback done);

private:
    const Lease &m_lease;
    EngineOrderSender &m_sender;
};

/// @brief An engine in memory for tests. It records the orders that it executes, and can check fencing tokens.
class FakeEngineOrderSender : public EngineOrderSender
{
public:
    explicit FakeEngineOrderSender(bool checksFencing);
    void send(const EngineOrder &order, Callback done) override;
    const std::vector<EngineOrder> &executed() const;

private:
    bool m_checksFencing;
    FencingToken m_highestToken = 0;
    std::vector<EngineOrder> m_executed;
};

} // namespace monsoonward
