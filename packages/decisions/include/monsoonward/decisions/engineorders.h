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
    FencingNumber number = 0; ///< of the lease under which it is given
    MONSOONWARD_FIELDS(kind, engine, subject, number)
};

/// @return "load-model", "change-role" and so on
std::string textOf(EngineOrderKind kind);

/// @brief Carries orders to engines.
class EngineOrders
{
public:
    /// Errors: Denied (an old number; nothing was done), Unavailable (nothing was done), Unknown (may have been done).
    using Callback = std::function<void(Result<void>)>;

    virtual ~EngineOrders() = default;
    virtual void give(const EngineOrder &order, Callback done) = 0;
};

/// @brief Lets through only what an order gate admits. Used in front of every engine, whether it checks numbers or not.
class GuardedEngineOrders : public EngineOrders
{
public:
    GuardedEngineOrders(OrderGate &gate, EngineOrders &engines);
    void give(const EngineOrder &order, Callback done) override;

private:
    OrderGate &m_gate;
    EngineOrders &m_engines;
};

/// @brief Gives orders under a lease: each one only while the lease is held, with its number, both read right before.
class LeasedEngineOrders
{
public:
    LeasedEngineOrders(const Lease &lease, EngineOrders &target);
    /// @param order its number is filled in here
    void give(EngineOrder order, EngineOrders::Callback done);

private:
    const Lease &m_lease;
    EngineOrders &m_target;
};

/// @brief Engines in memory for tests: they keep what they did and check fencing numbers or ignore them.
class FakeEngineOrders : public EngineOrders
{
public:
    explicit FakeEngineOrders(bool checksFencing);
    void give(const EngineOrder &order, Callback done) override;
    const std::vector<EngineOrder> &done() const;

private:
    bool m_checksFencing;
    FencingNumber m_highest = 0;
    std::vector<EngineOrder> m_done;
};

} // namespace monsoonward
