#pragma once

#include "monsoonward/values/configuration.h"
#include "monsoonward/values/requestid.h"
#include "monsoonward/values/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons. Deadlines travel as the time that is left, since clocks of two hosts don't agree.
/// The transport package encodes them; the decisions package sends and receives them.
namespace monsoonward
{

/// @brief One run of the daemon on one host.
struct Peer
{
    HostName host;
    Incarnation incarnation;
    MONSOONWARD_FIELDS(host, incarnation)
};

/// @brief Hash of a prompt's beginning up to the end of one block; longer prefixes come later in a list.
using PrefixHash = std::uint64_t;

// ---- entry to target, on the session stream

/// @brief Asks a target to claim a request when it has a free slot.
struct Reserve
{
    RequestId id;
    TargetName target;
    ServiceName service;
    CustomerName customer;
    double weight = 1; ///< the customer's share within the tier
    Tier tier;
    Duration timeLeft {}; ///< until the deadline, when sent
    std::uint32_t promptTokens = 0; ///< estimate
    std::uint32_t outputTokens = 0; ///< estimate
    std::vector<PrefixHash> prefixes;
    MONSOONWARD_FIELDS(id, target, service, customer, weight, tier, timeLeft, promptTokens, outputTokens, prefixes)
};

/// @brief Takes a reservation back; the target drops it.
struct Withdraw
{
    RequestId id;
    TargetName target;
    MONSOONWARD_FIELDS(id, target)
};

/// @brief Asks a target to stop a request that was handed over; answered by CancelReply.
struct Cancel
{
    RequestId id;
    ClaimId claim;
    MONSOONWARD_FIELDS(id, claim)
};

/// @brief Acknowledges a Refused, so that the target may forget the claim.
struct RefusedAck
{
    ClaimId claim;
    MONSOONWARD_FIELDS(claim)
};

// ---- entry to target, on the request's own stream

/// @brief Gives the request to the claim's holder. From here on the request may have run.
struct HandOver
{
    RequestId id;
    ClaimId claim;
    std::string method;
    std::string path; ///< with the query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    MONSOONWARD_FIELDS(id, claim, method, path, headers, body)
};

/// @brief Tells a claimant that the request is gone.
struct ClaimRejected
{
    RequestId id;
    ClaimId claim;
    MONSOONWARD_FIELDS(id, claim)
};

// ---- target to entry, on the request's own stream

/// @brief Asks for a reserved request; the slot is held until the answer comes.
struct Claim
{
    RequestId id;
    ClaimId claim;
    TargetName target;
    EngineName engine;
    MONSOONWARD_FIELDS(id, claim, target, engine)
};

struct AnswerBegin
{
    RequestId id;
    ClaimId claim;
    std::uint32_t status = 0; ///< HTTP status
    std::vector<std::pair<std::string, std::string>> headers;
    MONSOONWARD_FIELDS(id, claim, status, headers)
};

/// @brief A piece of the answer's body; @p offset counts the bytes before it.
struct AnswerChunk
{
    RequestId id;
    ClaimId claim;
    std::uint64_t offset = 0;
    std::string bytes;
    MONSOONWARD_FIELDS(id, claim, offset, bytes)
};

/// @brief Ends an answer. It is whole when @p verdict is Completed and @p length bytes arrived.
struct AnswerEnd
{
    RequestId id;
    ClaimId claim;
    std::uint64_t length = 0;
    Verdict verdict = Verdict::MayHaveRun;
    std::string detail; ///< why it isn't whole
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< prompt tokens that needed no prefill
    std::uint32_t outputTokens = 0;
    MONSOONWARD_FIELDS(id, claim, length, verdict, detail, promptTokens, cachedTokens, outputTokens)
};

// ---- target to entry, on the session stream

/// @brief States that a claim was given up before dispatch and never will be dispatched. Repeated until acknowledged.
struct Refused
{
    RequestId id;
    ClaimId claim;
    std::string detail;
    MONSOONWARD_FIELDS(id, claim, detail)
};

/// @brief Whether a request to be cancelled had been dispatched.
struct CancelReply
{
    RequestId id;
    ClaimId claim;
    Verdict verdict = Verdict::MayHaveRun; ///< NotRun: was not dispatched and never will be
    MONSOONWARD_FIELDS(id, claim, verdict)
};

/// @brief A reservation was dropped by the target, for instance because its deadline can't be met there.
struct ReservationDropped
{
    RequestId id;
    TargetName target;
    RefusalReason reason = RefusalReason::Expired;
    MONSOONWARD_FIELDS(id, target, reason)
};

/// @brief Load of one tier at a target.
struct TierLoad
{
    Tier tier;
    std::uint32_t waiting = 0; ///< reservations
    std::uint64_t waitingTokens = 0; ///< prompt and output, estimated
    MONSOONWARD_FIELDS(tier, waiting, waitingTokens)
};

/// @brief Heartbeat of a target daemon for one of its targets.
struct TargetStatus
{
    TargetName target;
    ServiceName service;
    bool accepting = true; ///< false from the moment it drains or leaves
    std::uint32_t freeSlots = 0;
    std::uint32_t running = 0;
    double prefillTokensPerSecond = 0; ///< measured, over its engines
    double decodeTokensPerSecond = 0; ///< measured, for one request
    std::vector<TierLoad> tiers;
    std::vector<PrefixHash> cachedPrefixes; ///< prefixes added to its caches since the last heartbeat
    std::vector<PrefixHash> evictedPrefixes;
    MONSOONWARD_FIELDS(target,
                       service,
                       accepting,
                       freeSlots,
                       running,
                       prefillTokensPerSecond,
                       decodeTokensPerSecond,
                       tiers,
                       cachedPrefixes,
                       evictedPrefixes)
};

// ---- between any two daemons

/// @brief Sent on a new session stream and then at each heartbeat interval.
struct Heartbeat
{
    Peer from;
    HostRole role = HostRole::Target;
    std::uint64_t sequence = 0; ///< rises with each heartbeat of the incarnation
    Revision revision = 0; ///< in force at the sender
    bool leaving = false; ///< true from the moment the sender shuts down
    MONSOONWARD_FIELDS(from, role, sequence, revision, leaving)
};

/// @brief A configuration, or the change from one revision to the next, as the control package encodes it.
struct ConfigurationOffer
{
    Revision baseRevision = 0; ///< 0: @p payload is whole
    Revision revision = 0;
    std::string payload;
    MONSOONWARD_FIELDS(baseRevision, revision, payload)
};

/// @brief Asks for what lies between @p knownRevision and the revision in force at the receiver.
struct ConfigurationRequest
{
    Revision knownRevision = 0;
    MONSOONWARD_FIELDS(knownRevision)
};

// ---- entry to entry

/// @brief Asks a peer to close @p from and every lower tier of a service for the length of a lease.
struct CloseTiers
{
    ServiceName service;
    Tier highestTier;
    std::uint64_t sequence = 0; ///< rises with each ask of the sender
    Duration lease {};
    MONSOONWARD_FIELDS(service, highestTier, sequence, lease)
};

/// @brief The peer has closed the tiers, and no request of theirs waits there any more.
struct TiersClosed
{
    ServiceName service;
    Tier highestTier;
    std::uint64_t sequence = 0;
    MONSOONWARD_FIELDS(service, highestTier, sequence)
};

/// @brief Use of one customer at the sender, for limits that hold over all entries.
struct CustomerUsage
{
    CustomerName customer;
    std::uint32_t requestsInProgress = 0;
    std::uint32_t tokensInProgress = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    MONSOONWARD_FIELDS(customer, requestsInProgress, tokensInProgress, requestsPerSecond, tokensPerSecond)
};

struct UsageReport
{
    std::vector<CustomerUsage> customers;
    MONSOONWARD_FIELDS(customers)
};

/// @brief Hash over customer, service and body of a request.
using Fingerprint = std::uint64_t;

/// @brief A request was in progress where a target or an engine crashed.
struct SuspectNotice
{
    Fingerprint fingerprint = 0;
    ServiceName service;
    std::uint32_t crashes = 0; ///< seen so far by @c observer; 0: the request ran whole since, suspicion ends
    Duration expiresIn {};
    Incarnation observer; ///< the entry that saw the crashes
    MONSOONWARD_FIELDS(fingerprint, service, crashes, expiresIn, observer)
};

/// @brief Asks the entry that holds an idempotency claim what became of its request.
struct ClaimQuery
{
    RequestId holder;
    std::uint64_t sequence = 0; ///< copied into the reply
    MONSOONWARD_FIELDS(holder, sequence)
};

struct ClaimQueryReply
{
    RequestId holder;
    std::uint64_t sequence = 0;
    Verdict verdict = Verdict::MayHaveRun; ///< NotRun: not handed over and never will be
    MONSOONWARD_FIELDS(holder, sequence, verdict)
};

// ---- authentication of a new session stream, before any other message

/// @brief The dialling daemon's challenge.
struct AuthHello
{
    std::string nonce; ///< 32 random bytes
    MONSOONWARD_FIELDS(nonce)
};

/// @brief The accepting daemon's challenge.
struct AuthChallenge
{
    std::string nonce; ///< 32 random bytes
    MONSOONWARD_FIELDS(nonce)
};

/// @brief HMAC-SHA256 over both challenges; the dialling daemon proves itself first.
struct AuthProof
{
    std::string proof; ///< 32 bytes
    MONSOONWARD_FIELDS(proof)
};

using Message = std::variant<Reserve,
                             Withdraw,
                             Cancel,
                             RefusedAck,
                             HandOver,
                             ClaimRejected,
                             Claim,
                             AnswerBegin,
                             AnswerChunk,
                             AnswerEnd,
                             Refused,
                             CancelReply,
                             ReservationDropped,
                             TargetStatus,
                             Heartbeat,
                             ConfigurationOffer,
                             ConfigurationRequest,
                             CloseTiers,
                             TiersClosed,
                             UsageReport,
                             SuspectNotice,
                             ClaimQuery,
                             ClaimQueryReply,
                             AuthHello,
                             AuthChallenge,
                             AuthProof>;

} // namespace monsoonward
