#pragma once

#include "entrytable.h"
#include "membership.h"

#include "monsoonward/decisions/entrymachine.h"

namespace monsoonward
{

/// @brief One request at its entry.
struct EntryRequest
{
    RequestSpec spec;
    EntryState state = EntryState::Keying;
    std::vector<TargetName> reservedTargets;
    ClaimId claim; ///< the one it is handed over to
    Peer holder; ///< of the claim
    bool mayRun = false; ///< handed over, and the holder hasn't said that it never will be dispatched
    bool crashed = false; ///< its end looks like a crash of its target or engine
    TimePoint settleBy {};
    std::optional<Refusal> pendingRefusal; ///< the refusal when the holder's word is bad or doesn't come
};

/// @brief Places the reservations of waiting requests at targets and takes them back.
class Reservations
{
public:
    Reservations(const Clock &clock, EntryPolicy &policy, const Membership &membership, EntryOutput &output);

    /// Reserves the request wherever the policy wants it in addition.
    void reserve(EntryRequest &request);
    /// Takes all reservations back, but for the one at @p except, which is used up.
    void withdraw(EntryRequest &request, const TargetName &except);
    /// The reservation at the target is gone.
    static void drop(EntryRequest &request, const TargetName &target);
    /// A claim of the daemon came to nothing: its reservations are used up.
    void dropReservationsAt(EntryRequest &request, const Peer &daemon) const;

private:
    const Clock &m_clock;
    EntryPolicy &m_policy;
    const Membership &m_membership;
    EntryOutput &m_output;
};

} // namespace monsoonward
