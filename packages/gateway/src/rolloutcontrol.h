#pragma once

#include "gatewaycore.h"
#include "storewatch.h"

#include <functional>

namespace monsoonward
{

/// @brief Reads the operators' orders of roll-outs and the stored states, and writes the states that the gateways
/// decide.
class RolloutControl
{
public:
    /// @param core, store must outlive this object
    /// @param reportNow sends a report to the other gateways at once
    RolloutControl(GatewayCore &core, StoreWatch &store, std::function<void()> reportNow);
    RolloutControl(const RolloutControl &) = delete;
    RolloutControl &operator=(const RolloutControl &) = delete;

    /// The operators' whole table was read.
    void ordersListed(const std::vector<TableRow> &rows, ListCause cause);
    void ordersChanged(const std::vector<TableRow> &rows);
    /// All changes of the operators' table before the call were reported.
    void ordersRead(const ReadTime &read);
    void statesListed(const std::vector<TableRow> &rows);
    void statesChanged(const std::vector<TableRow> &rows);
    /// An engine is registered. To be called before it may get requests.
    void engineSeen(const EngineRecord &engine);
    /// @return whether the state of each order is known, so that engines of ordered versions don't get ordinary load
    bool knowsOrders() const;
    void setHosts(std::vector<HostName> hosts);
    /// This gateway found a version bad.
    void versionFoundBad(const ServiceName &service);
    /// Decides and writes what is due. To be called several times a second.
    void tick(TimePoint now);

private:
    struct Order
    {
        TableRow row;
        TimePoint seenAt;
        bool wasRunning = false; // this gateway was running when the order was given
        bool isTaken = false;
        std::int64_t orderedAtMs = 0; // the store's clock; 0 if it isn't known yet
        std::optional<RolloutStatus> rejection {};
    };
    struct State
    {
        RolloutStatus status;
        std::uint64_t version = 0;
    };

    std::optional<ServiceName> serviceOf(const std::string &key) const;
    void orderRow(const TableRow &row, bool wasRunning);
    void stateRow(const TableRow &row);
    void takeOrders(TimePoint now);
    void take(const ServiceName &service, Order &order, TimePoint now);
    /// @return how the roll-out of the same order ended in a former era of the store, from which the state is lost
    std::optional<RolloutStatus> formerEnd(const RolloutOrder &order);
    void reject(const ServiceName &service, Order &order, const RolloutOrder &decoded, const std::string &reason);
    Duration drainTimeOf(const ServiceName &service) const;
    std::optional<RolloutStatus> dueState(const ServiceName &service, const Order &order, TimePoint now);
    void write(const RolloutStatus &status);

    GatewayCore &m_core;
    StoreWatch &m_store;
    std::function<void()> m_reportNow;
    std::unique_ptr<RowStore> m_rows;
    std::map<ServiceName, Order> m_orders;
    std::map<ServiceName, State> m_states;
    std::map<ServiceName, StoreEra> m_takenIn; // era of the order taken last
    std::map<ServiceName, RolloutPhase> m_phases; // as logged last
    std::map<ServiceName, std::pair<RolloutState, TimePoint>> m_dueSince;
    std::vector<HostName> m_hosts;
    bool m_areStatesListed = false;
    bool m_hasPendingVersions = false;
    bool m_isWriting = false;
    TimePoint m_nextWriteAt;
};

} // namespace monsoonward
