#include "reservations.h"

#include <algorithm>

namespace monsoonward
{

Reservations::Reservations(const Clock &clock, EntryPolicy &policy, const Membership &membership, EntryOutput &output)
    : m_clock(clock)
    , m_policy(policy)
    , m_membership(membership)
    , m_output(output)
{
}

void Reservations::reserve(EntryRequest &request)
{
    const auto &spec = request.spec;
    for (const auto &it : m_policy.targetsToReserve(spec, request.reservedTargets)) {
        const auto daemon = m_membership.daemonOf(it);
        if (!daemon) {
            continue;
        }
        request.reservedTargets.push_back(it);
        m_output.send(*daemon,
                      Reserve {spec.id,
                               it,
                               spec.service,
                               spec.customer,
                               spec.weight,
                               spec.tier,
                               spec.deadline - m_clock.now(),
                               spec.promptTokens,
                               spec.outputTokens,
                               spec.prefixes});
    }
}

void Reservations::withdraw(EntryRequest &request, const TargetName &except)
{
    for (const auto &it : request.reservedTargets) {
        const auto daemon = m_membership.daemonOf(it);
        if (it != except && daemon) {
            m_output.send(*daemon, Withdraw {request.spec.id, it});
        }
    }
    request.reservedTargets.clear();
}

void Reservations::drop(EntryRequest &request, const TargetName &target)
{
    auto &reservedTargets = request.reservedTargets;
    reservedTargets.erase(std::remove(reservedTargets.begin(), reservedTargets.end(), target), reservedTargets.end());
}

void Reservations::dropReservationsAt(EntryRequest &request, const Peer &daemon) const
{
    const auto isConsumed = [&](const TargetName &name) {
        const auto found = m_membership.daemonOf(name);
        return !found || *found == daemon;
    };
    auto &reservedTargets = request.reservedTargets;
    reservedTargets.erase(std::remove_if(reservedTargets.begin(), reservedTargets.end(), isConsumed),
                          reservedTargets.end());
}

} // namespace monsoonward
