#pragma once

#include "entrytable.h"
#include "membership.h"

#include "monsoonward/decisions/entrymachine.h"

namespace monsoonward
{

/// @brief A request and its state at the entry.
struct EntryRequest
{
    RequestSpec spec;
    EntryState state = EntryState::Keying;
    std::vector<TargetName> reservedTargets;
    ClaimId claim; ///< the claim that it is or was last handed over to
    Peer holder; ///< the target daemon that sent the claim
    bool mayRun = false; ///< it was handed over, and the holder hasn't ruled out that it was dispatched
    bool crashed = false; ///< it ended in a way that suggests a crash of its target daemon or engine
    TimePoint settleBy {}; ///< when to stop waiting for the holder's reply
    std::optional<Refusal> pendingRefusal; ///< the refusal to send if the request ends without an answer
};

/// @brief Reserves waiting requests at targets and withdraws the reservations.
class Reservations
{
public:
    Reservations(const Clock &clock, EntryPolicy &policy, const Membership &membership, EntryOutput &output);

    /// Reserves the request at all further targets that the policy chooses.
    void reserve(EntryRequest &request);
    /// Withdraws all reservations except the one at @p except, which the hand-over uses up.
    void withdraw(EntryRequest &request, const TargetName &except);
    /// Forgets the reservation at the target without telling it.
    static void drop(EntryRequest &request, const TargetName &target);
    /// Forgets the reservations at the targets of @p daemon, and at targets that are no longer usable.
    void dropReservationsAt(EntryRequest &request, const Peer &daemon) const;

private:
    const Clock &m_clock;
    EntryPolicy &m_policy;
    const Membership &m_membership;
    EntryOutput &m_output;
};

} // namespace monsoonward
