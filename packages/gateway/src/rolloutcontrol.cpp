#include "rolloutcontrol.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration writePause = std::chrono::milliseconds(500); // after a write that failed
constexpr Duration turnLength = std::chrono::milliseconds(300); // then the next gateway writes
constexpr std::size_t maxTurns = 8; // gateways after that write at the same time; one of them succeeds
constexpr Duration defaultDrainTime = std::chrono::seconds(5); // of routes without a time limit

std::string_view textOf(RolloutState state)
{
    switch (state) {
    case RolloutState::Active:
        return "active";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        break;
    }
    return "rolled-back";
}

} // namespace

RolloutControl::RolloutControl(GatewayCore &core, StoreWatch &store, std::function<void()> reportNow)
    : m_core(core)
    , m_store(store)
    , m_reportNow(std::move(reportNow))
    , m_rows(core.adapter.makeRowStore(core.io, core.settings.store))
{
}

std::optional<ServiceName> RolloutControl::serviceOf(const std::string &key) const
{
    const auto &prefix = m_core.adapter.storeLayout().rolloutKeyPrefix;
    if (prefix.empty() || !m_core.rollouts.isEnabled() || key.size() <= prefix.size()
        || key.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return ServiceName(key.substr(prefix.size()));
}

void RolloutControl::ordersListed(const std::vector<TableRow> &rows, ListCause cause)
{
    auto former = m_orders;
    for (const auto &it : rows) {
        orderRow(it, cause != ListCause::Start);
        if (const auto service = serviceOf(it.key)) {
            former.erase(*service);
        }
    }
    if (cause == ListCause::StoreRestored) {
        return; // an order that the copy lacks is written again, or its roll-out ends at its time limit
    }
    for (const auto &it : former) {
        m_orders.erase(it.first);
        m_core.rollouts.orderRemoved(it.first);
    }
}

void RolloutControl::ordersChanged(const std::vector<TableRow> &rows)
{
    for (const auto &it : rows) {
        orderRow(it, true);
    }
}

void RolloutControl::orderRow(const TableRow &row, bool wasRunning)
{
    const auto service = serviceOf(row.key);
    if (!service) {
        return;
    }
    if (!row.value) {
        m_orders.erase(*service);
        m_core.rollouts.orderRemoved(*service);
        return;
    }
    const auto it = m_orders.find(*service);
    if (it == m_orders.end() || it->second.row.version != row.version) {
        m_orders[*service] = {row, m_core.clock.now(), wasRunning};
        m_dueSince.erase(*service);
        m_phases.erase(*service);
    }
    takeOrders(m_core.clock.now());
}

void RolloutControl::ordersRead(const ReadTime &read)
{
    if (!m_areStatesListed) {
        return; // no order is known as long as its state isn't
    }
    for (auto &it : m_orders) {
        auto &order = it.second;
        if (order.orderedAtMs == 0 && read.storeTimeMs > 0) {
            order.orderedAtMs = read.storeTimeMs - milliseconds(read.answeredAt - order.seenAt);
        }
    }
    m_core.rollouts.ordersRead(read.startedAt);
    m_hasPendingVersions = m_core.rollouts.hasPendingVersions();
}

void RolloutControl::statesListed(const std::vector<TableRow> &rows)
{
    m_states.clear();
    m_areStatesListed = true;
    statesChanged(rows);
    takeOrders(m_core.clock.now());
}

void RolloutControl::statesChanged(const std::vector<TableRow> &rows)
{
    for (const auto &it : rows) {
        stateRow(it);
    }
}

void RolloutControl::stateRow(const TableRow &row)
{
    const auto service = serviceOf(row.key);
    if (!service) {
        return;
    }
    const auto decoded = row.value ? m_core.adapter.decodeRolloutStatus(*service, *row.value)
                                   : Result<RolloutStatus>(Error {ErrorCode::NotFound, "row removed"});
    // A row that can't be read is replaced; its version is the condition of that write.
    m_states[*service] = {decoded ? decoded.value() : RolloutStatus {}, row.value ? row.version : 0};
    if (!decoded) {
        m_core.log.write(
            Event::RolloutOrderRejected,
            Severity::Warning,
            "rollout-state-rejected",
            {{"service", std::string_view(service->text())}, {"reason", std::string_view(decoded.error().message)}});
        return;
    }
    const auto &status = decoded.value();
    const bool isFollowed = m_core.rollouts.statusRead(status, m_core.clock.now());
    m_core.log.write(Event::RolloutStateRead,
                     Severity::Info,
                     "rollout-state-read",
                     {{"service", std::string_view(service->text())},
                      {"to", std::string_view(status.to)},
                      {"state", textOf(status.state)},
                      {"reason", std::string_view(status.reason)},
                      {"of_known_order", isFollowed}});
}

void RolloutControl::engineSeen(const EngineRecord &engine)
{
    if (m_core.rollouts.engineSeen(engine, m_core.clock.now())) {
        m_hasPendingVersions = true;
        m_store.pollOrders();
    }
}

bool RolloutControl::knowsOrders() const
{
    return m_areStatesListed || !m_core.rollouts.isEnabled();
}

void RolloutControl::setHosts(std::vector<HostName> hosts)
{
    m_hosts = std::move(hosts);
}

Duration RolloutControl::drainTimeOf(const ServiceName &service) const
{
    Duration longest {};
    for (const auto &route : m_core.activeConfiguration->configuration->routes) {
        const bool isOf = std::any_of(
            route.services.begin(), route.services.end(), [&](const auto &it) { return it.service == service; });
        if (isOf) {
            longest = std::max(longest, route.timeLimit > Duration::zero() ? route.timeLimit : defaultDrainTime);
        }
    }
    return longest;
}

void RolloutControl::takeOrders(TimePoint now)
{
    if (!m_areStatesListed || !m_core.activeConfiguration) {
        return; // the order may be an old one whose roll-out has ended
    }
    for (auto &[service, order] : m_orders) {
        if (!order.isTaken) {
            order.isTaken = true;
            take(service, order, now);
        }
    }
}

void RolloutControl::take(const ServiceName &service, Order &order, TimePoint now)
{
    const auto decoded = m_core.adapter.decodeRolloutOrder(service, *order.row.value);
    if (!decoded) {
        reject(service, order, {service, "", {}, order.row.version}, decoded.error().message);
        return;
    }
    auto taken = decoded.value();
    taken.id = order.row.version;
    const auto state = m_states.find(service);
    const bool isStored = state != m_states.end() && state->second.status.orderId == taken.id;
    const auto end = isStored ? std::optional(state->second.status) : formerEnd(taken);
    m_takenIn[service] = m_store.era();
    auto orderedAt = order.seenAt;
    if (isStored) {
        order.orderedAtMs = state->second.status.orderedAtMs;
        orderedAt = m_store.localTime(order.orderedAtMs, now).value_or(orderedAt);
    } else if (!end) {
        const auto &services = m_core.activeConfiguration->configuration->services;
        const auto engines = m_core.engines.ofService(service);
        const bool isKnown =
            std::any_of(services.begin(), services.end(), [&](const auto &it) { return it.name == service; });
        const bool isInForce = !engines.empty() && std::all_of(engines.begin(), engines.end(), [&](const auto *it) {
            return it->softwareVersion == taken.to;
        });
        if (!isKnown || isInForce) {
            reject(service, order, taken, isKnown ? "all engines have that version" : "unknown service");
            return;
        }
    }
    m_core.rollouts.orderRead(taken, orderedAt, drainTimeOf(service), order.wasRunning);
    if (end) {
        m_core.rollouts.statusRead(*end, now);
    }
    m_core.log.write(Event::RolloutOrdered,
                     Severity::Info,
                     "rollout-ordered",
                     {{"service", std::string_view(service.text())},
                      {"to", std::string_view(taken.to)},
                      {"limit_ms", milliseconds(taken.timeLimit)},
                      {"age_ms", milliseconds(now - orderedAt)},
                      {"ended_before", !isStored && end.has_value()},
                      {"row_version", static_cast<std::int64_t>(taken.id)}});
}

std::optional<RolloutStatus> RolloutControl::formerEnd(const RolloutOrder &order)
{
    const auto *rollout = m_core.rollouts.find(order.service);
    const auto takenIn = m_takenIn.find(order.service);
    const bool isSame = rollout != nullptr && takenIn != m_takenIn.end() && takenIn->second != m_store.era()
        && rollout->order().to == order.to && rollout->order().timeLimit == order.timeLimit;
    if (!isSame || (rollout->phase() != RolloutPhase::Completed && rollout->phase() != RolloutPhase::RolledBack)) {
        return std::nullopt;
    }
    const auto state = rollout->phase() == RolloutPhase::Completed ? RolloutState::Completed : RolloutState::RolledBack;
    return RolloutStatus {order.service, order.to, state, order.id, 0, rollout->reason()};
}

void RolloutControl::reject(const ServiceName &service,
                            Order &order,
                            const RolloutOrder &decoded,
                            const std::string &reason)
{
    m_core.rollouts.abandon(service);
    order.rejection = RolloutStatus {service, decoded.to, RolloutState::RolledBack, decoded.id, 0, reason};
    m_core.log.write(Event::RolloutOrderRejected,
                     Severity::Warning,
                     "rollout-order-rejected",
                     {{"service", std::string_view(service.text())}, {"reason", std::string_view(reason)}});
}

void RolloutControl::versionFoundBad(const ServiceName & /*service: tick() looks at all*/)
{
    tick(m_core.clock.now());
}

std::optional<RolloutStatus> RolloutControl::dueState(const ServiceName &service, const Order &order, TimePoint now)
{
    RolloutStatus due;
    if (order.rejection) {
        due = *order.rejection;
    } else if (auto *rollout = m_core.rollouts.find(service)) {
        const auto around = m_core.rollouts.surroundings(service, m_core.placer->ownRequests(), now);
        rollout->advance(around, now);
        due = {service,
               rollout->order().to,
               rollout->decision(around, now),
               rollout->order().id,
               order.orderedAtMs,
               rollout->reason()};
    } else {
        return std::nullopt;
    }
    const auto stored = m_states.find(service);
    const bool isSameOrder = stored != m_states.end() && stored->second.status.orderId == due.orderId;
    const bool isEnded = isSameOrder && stored->second.status.state != RolloutState::Active;
    if (isEnded || (isSameOrder && due.state == RolloutState::Active)) {
        return std::nullopt;
    }
    return due;
}

void RolloutControl::tick(TimePoint now)
{
    takeOrders(now);
    if (m_hasPendingVersions) {
        m_store.pollOrders();
    }
    for (const auto &[service, order] : m_orders) {
        const auto due = order.isTaken ? dueState(service, order, now) : std::nullopt;
        if (const auto *rollout = m_core.rollouts.find(service)) {
            const auto phase = rollout->phase();
            const auto known = m_phases.emplace(service, phase);
            if (!known.second && known.first->second != phase) {
                known.first->second = phase;
                const auto text = monsoonward::textOf(phase);
                m_reportNow();
                const bool isBad = phase == RolloutPhase::Bad;
                m_core.log.write(isBad ? Event::RolloutVersionBad : Event::RolloutPhaseChanged,
                                 isBad ? Severity::Warning : Severity::Info,
                                 isBad ? "rollout-version-bad" : "rollout-phase",
                                 {{"service", std::string_view(service.text())},
                                  {"phase", std::string_view(text)},
                                  {"reason", std::string_view(rollout->reason())},
                                  {"answers", static_cast<std::int64_t>(rollout->judge().answers())},
                                  {"evidence", rollout->judge().evidence()}});
            }
        }
        if (!due) {
            m_dueSince.erase(service);
            continue;
        }
        auto &since = m_dueSince.emplace(service, std::make_pair(due->state, now)).first->second;
        if (since.first != due->state) {
            since = {due->state, now};
        }
        const auto turn = std::min(m_core.fleet.dutyRank(m_hosts, now), maxTurns);
        if (!m_isWriting && now >= m_nextWriteAt && now - since.second >= turnLength * static_cast<int>(turn)) {
            write(*due);
        }
    }
}

void RolloutControl::write(const RolloutStatus &status)
{
    m_isWriting = true;
    const auto &layout = m_core.adapter.storeLayout();
    const auto stored = m_states.find(status.service);
    const auto version = stored == m_states.end() ? 0 : stored->second.version;
    const TableRow row {layout.rolloutKeyPrefix + status.service.text(), m_core.adapter.encodeRolloutStatus(status), 0};
    m_rows->write(layout.stateTable, row, version, [this, status](const Result<void> &result) {
        m_isWriting = false;
        m_nextWriteAt = m_core.clock.now() + writePause; // by then the written row has been read
        m_store.pollStates();
        m_core.log.write(
            result ? Event::RolloutStateWritten : Event::RolloutStateNotWritten,
            result ? Severity::Info : Severity::Warning,
            result ? "rollout-state-written" : "rollout-state-not-written",
            {{"service", std::string_view(status.service.text())},
             {"to", std::string_view(status.to)},
             {"state", textOf(status.state)},
             {"reason", result ? std::string_view(status.reason) : std::string_view(result.error().message)}});
    });
}

} // namespace monsoonward
