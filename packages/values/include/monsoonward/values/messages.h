#pragma once

#include "monsoonward/values/configuration.h"
#include "monsoonward/values/requestid.h"
#include "monsoonward/values/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons, on one session stream for each pair and one stream for each claim. A deadline is sent as
/// the time remaining, since two hosts' clocks can't be compared. Encoded in package transport, used in decisions.
namespace monsoonward
{

/// @brief One run of the daemon on one host.
struct Peer
{
    HostName host;
    Incarnation incarnation;
    MONSOONWARD_FIELDS(host, incarnation)
};

/// @brief Hash of a prompt from its start to the end of one block. Lists of hashes of one prompt go from short to long
/// prefixes.
using PrefixHash = std::uint64_t;

// ---- from entry to target, on the session stream

/// @brief Queues a reservation at a target, which claims the request when it has a free slot.
struct Reserve
{
    RequestId id;
    TargetName target;
    ServiceName service;
    CustomerName customer;
    double weight = 1; ///< the customer's relative share of capacity within the tier
    Tier tier;
    Duration timeLeft {}; ///< from sending to the deadline
    std::uint32_t promptTokens = 0; ///< estimate
    std::uint32_t outputTokens = 0; ///< estimate
    std::vector<PrefixHash> prefixes;
    MONSOONWARD_FIELDS(id, target, service, customer, weight, tier, timeLeft, promptTokens, outputTokens, prefixes)
};

/// @brief Withdraws a reservation; the target drops it.
struct Withdraw
{
    RequestId id;
    TargetName target;
    MONSOONWARD_FIELDS(id, target)
};

/// @brief Asks a target to stop a request that was handed over. The target replies with a CancelReply.
struct Cancel
{
    RequestId id;
    ClaimId claim;
    MONSOONWARD_FIELDS(id, claim)
};

/// @brief Acknowledges a Refused message, so that the target can delete its record of the claim.
struct RefusedAck
{
    ClaimId claim;
    MONSOONWARD_FIELDS(claim)
};

// ---- from entry to target, on the claim's stream

/// @brief Passes the request to the target that claimed it. Once this is sent, the request may have run.
struct HandOver
{
    RequestId id;
    ClaimId claim;
    std::string method;
    std::string path; ///< including the query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    MONSOONWARD_FIELDS(id, claim, method, path, headers, body)
};

/// @brief Rejects a claim: the request is no longer available.
struct ClaimRejected
{
    RequestId id;
    ClaimId claim;
    MONSOONWARD_FIELDS(id, claim)
};

// ---- from target to entry, on the claim's stream

/// @brief Claims a reserved request. The target holds the slot until it receives HandOver or ClaimRejected.
struct Claim
{
    RequestId id;
    ClaimId claim;
    TargetName target;
    EngineName engine;
    MONSOONWARD_FIELDS(id, claim, target, engine)
};

/// @brief Starts an answer with the status and headers of the HTTP response.
struct AnswerBegin
{
    RequestId id;
    ClaimId claim;
    std::uint32_t status = 0; ///< HTTP status
    std::vector<std::pair<std::string, std::string>> headers;
    MONSOONWARD_FIELDS(id, claim, status, headers)
};

/// @brief A part of the answer's body.
struct AnswerChunk
{
    RequestId id;
    ClaimId claim;
    std::uint64_t offset = 0; ///< position of the first byte in the body
    std::string bytes;
    MONSOONWARD_FIELDS(id, claim, offset, bytes)
};

/// @brief Ends an answer, which is complete if @p verdict is Completed and @p length bytes of body were received.
struct AnswerEnd
{
    RequestId id;
    ClaimId claim;
    std::uint64_t length = 0;
    Verdict verdict = Verdict::MayHaveRun;
    std::string detail; ///< why the answer is incomplete
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< prompt tokens taken from the prefix cache instead of prefilled
    std::uint32_t outputTokens = 0;
    MONSOONWARD_FIELDS(id, claim, length, verdict, detail, promptTokens, cachedTokens, outputTokens)
};

// ---- from target to entry, on the session stream

/// @brief The target abandoned a claim before dispatching the request to an engine and never will dispatch it. Sent
/// repeatedly until a RefusedAck arrives.
struct Refused
{
    RequestId id;
    ClaimId claim;
    std::string detail;
    MONSOONWARD_FIELDS(id, claim, detail)
};

/// @brief Reply to Cancel: whether the request had been dispatched to an engine.
struct CancelReply
{
    RequestId id;
    ClaimId claim;
    Verdict verdict = Verdict::MayHaveRun; ///< NotRun: not dispatched and never will be
    MONSOONWARD_FIELDS(id, claim, verdict)
};

/// @brief The target dropped a reservation, for example because it can't meet the deadline.
struct ReservationDropped
{
    RequestId id;
    TargetName target;
    RefusalReason reason = RefusalReason::Expired;
    MONSOONWARD_FIELDS(id, target, reason)
};

/// @brief Queue of one tier at a target.
struct TierLoad
{
    Tier tier;
    std::uint32_t waiting = 0; ///< number of queued reservations
    std::uint64_t waitingTokens = 0; ///< their estimated prompt and output tokens
    MONSOONWARD_FIELDS(tier, waiting, waitingTokens)
};

/// @brief Periodic status report on one target of a target daemon.
struct TargetStatus
{
    TargetName target;
    ServiceName service;
    bool accepting = true; ///< false once it is draining or shutting down
    std::uint32_t freeSlots = 0;
    std::uint32_t running = 0; ///< number of requests running
    double prefillTokensPerSecond = 0; ///< measured, of all its engines together
    double decodeTokensPerSecond = 0; ///< measured, of one request
    std::vector<TierLoad> tiers;
    std::vector<PrefixHash> cachedPrefixes; ///< added to its prefix caches since the last report
    std::vector<PrefixHash> evictedPrefixes; ///< evicted from them since the last report
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

/// @brief The first message on a session after authentication, then sent at every heartbeat interval.
struct Heartbeat
{
    Peer from;
    HostRole role = HostRole::Target;
    std::uint64_t sequence = 0; ///< increases with each heartbeat of an incarnation
    Revision revision = 0; ///< the sender's current configuration
    bool leaving = false; ///< true once the sender is shutting down
    MONSOONWARD_FIELDS(from, role, sequence, revision, leaving)
};

/// @brief A complete configuration or the changes since an earlier revision, encoded by the control package.
struct ConfigurationOffer
{
    Revision baseRevision = 0; ///< revision that the changes apply to; 0: @p payload is a complete configuration
    Revision revision = 0;
    std::string payload;
    MONSOONWARD_FIELDS(baseRevision, revision, payload)
};

/// @brief Asks the receiver for the changes from @p knownRevision to its current configuration.
struct ConfigurationRequest
{
    Revision knownRevision = 0;
    MONSOONWARD_FIELDS(knownRevision)
};

// ---- from entry to entry

/// @brief Asks another entry to close @p highestTier and all lower tiers of a service until a lease expires.
struct CloseTiers
{
    ServiceName service;
    Tier highestTier;
    std::uint64_t sequence = 0; ///< increases with each CloseTiers of the sender
    Duration lease {}; ///< from receipt
    MONSOONWARD_FIELDS(service, highestTier, sequence, lease)
};

/// @brief Reply to CloseTiers: the sender has closed the tiers and has no request of them queued.
struct TiersClosed
{
    ServiceName service;
    Tier highestTier;
    std::uint64_t sequence = 0;
    MONSOONWARD_FIELDS(service, highestTier, sequence)
};

/// @brief One customer's usage at the sender, for enforcing limits summed over all entries.
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

/// @brief Hash of a request's customer, service and body.
using Fingerprint = std::uint64_t;

/// @brief A request was in progress when a target or engine crashed, so it may have caused the crash.
struct SuspectNotice
{
    Fingerprint fingerprint = 0;
    ServiceName service;
    std::uint32_t crashes = 0; ///< counted by @c observer; 0: the request has completed since and is cleared
    Duration expiresIn {};
    Incarnation observer; ///< the entry that counted the crashes
    MONSOONWARD_FIELDS(fingerprint, service, crashes, expiresIn, observer)
};

/// @brief Asks the entry of the request that holds an idempotency key whether that request may have run.
struct ClaimQuery
{
    RequestId holder;
    std::uint64_t sequence = 0; ///< returned in the reply
    MONSOONWARD_FIELDS(holder, sequence)
};

/// @brief Reply to ClaimQuery.
struct ClaimQueryReply
{
    RequestId holder;
    std::uint64_t sequence = 0;
    Verdict verdict = Verdict::MayHaveRun; ///< NotRun: not handed over and never will be
    MONSOONWARD_FIELDS(holder, sequence, verdict)
};

// ---- authentication of a new session stream, before any other message

/// @brief Challenge sent by the daemon that opened the connection.
struct AuthHello
{
    std::string nonce; ///< 32 random bytes
    MONSOONWARD_FIELDS(nonce)
};

/// @brief Challenge sent by the daemon that accepted the connection.
struct AuthChallenge
{
    std::string nonce; ///< 32 random bytes
    MONSOONWARD_FIELDS(nonce)
};

/// @brief Response to the challenges: an HMAC-SHA256 of both nonces. The dialling daemon sends its proof first.
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
