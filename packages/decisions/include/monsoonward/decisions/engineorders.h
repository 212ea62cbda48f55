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

/// @brief One order to one engine.
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::LoadModel;
    EngineName engine;
    std::string subject; ///< model, adapter, version, role, or the claim whose run is cancelled
    FencingToken token = 0; ///< of the lease under which it is given
    MONSOONWARD_FIELDS(kind, engine, subject, token)
};

/// @return "load-model", "change-role" and so on
std::string textOf(EngineOrderKind kind);

/// @brief Carries orders to engines.
class EngineOrderSender
{
public:
    /// Errors: Denied (an old number; nothing was done), Unavailable (nothing was done), Unknown (may have been done).
    using Callback = std::function<void(Result<void>)>;

    virtual ~EngineOrderSender() = default;
    virtual void send(const EngineOrder &order, Callback done) = 0;
};

/// @brief Lets through only what an order gate admits. Used in front of every engine, whether it checks numbers or not.
class FencedEngineOrderSender : public EngineOrderSender
{
public:
    FencedEngineOrderSender(OrderGate &gate, EngineOrderSender &engines);
    void send(const EngineOrder &order, Callback done) override;

private:
    OrderGate &m_gate;
    EngineOrderSender &m_engines;
};

/// @brief Gives orders under a lease: each one only while the lease is held, with its number, both read right before.
class LeasedEngineOrderSender
{
public:
    LeasedEngineOrderSender(const Lease &lease, EngineOrderSender &sender);
    /// @param order its number is filled in here
    void send(EngineOrder order, EngineOrderSender::Callback done);

private:
    const Lease &m_lease;
    EngineOrderSender &m_sender;
};

/// @brief Engines in memory for tests: they keep what they did and check fencing numbers or ignore them.
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
