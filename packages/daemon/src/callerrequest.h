#pragma once

#include "keyhash.h"

#include <monsoonward/policy/policy.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Parses the requests of callers and makes the replies that refuse them. Performs no I/O.
namespace monsoonward
{

using HeaderList = std::vector<std::pair<std::string, std::string>>;

constexpr const char *tierHeader = "Monsoonward-Tier"; ///< name or number of the tier
constexpr const char *deadlineHeader = "Monsoonward-Deadline"; ///< in milliseconds after the request's arrival
constexpr const char *idempotencyHeader = "Idempotency-Key";
constexpr const char *verdictHeader = "Monsoonward-Verdict";
constexpr const char *requestIdHeader = "Monsoonward-Request-Id";

/// @brief A caller's HTTP request.
struct HttpRequest
{
    std::string method;
    std::string path; ///< includes the query
    HeaderList headers;
    std::string body;
    MONSOONWARD_FIELDS(method, path, headers, body)
};

/// @brief A valid, authenticated request: its scheduling data and the HTTP request to forward to the engine.
struct ParsedRequest
{
    RequestSpec spec; ///< ID and deadline are set on submission
    Duration timeLeft {}; ///< until the deadline
    HttpRequest forwarded;
    MONSOONWARD_FIELDS(spec, timeLeft, forwarded)
};

/// @brief A complete HTTP response.
struct HttpReply
{
    unsigned status = 0;
    HeaderList headers;
    std::string body;
    MONSOONWARD_FIELDS(status, headers, body)
};

/// @return the value of the first header called @p name (case-insensitive), or null
const std::string *findHeader(const HeaderList &headers, const char *name);
/// @return @p headers without hop-by-hop headers, message framing, Host and credentials
HeaderList endToEndHeaders(const HeaderList &headers);

/// @brief Authenticates, validates and parses a caller's request.
/// @return the parsed request, or the reply that refuses it
std::variant<ParsedRequest, HttpReply>
parseCallerRequest(const HttpRequest &request, const Configuration &configuration, const CustomerKeys &keys);

/// @return the reply to a request that is refused without being submitted; its verdict is not-run
HttpReply refusalBeforeSubmit(unsigned status, const std::string &reason, const std::string &detail);
/// @return the reply to a submitted request that ended without a result
HttpReply refusalReply(const RequestId &id, const Refusal &refusal);

} // namespace monsoonward
