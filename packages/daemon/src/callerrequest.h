#pragma once

#include "keyhash.h"

#include <monsoonward/policy/policy.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// What callers send and what they get back, without any I/O: parsing requests, wording refusals.
namespace monsoonward
{

using HeaderList = std::vector<std::pair<std::string, std::string>>;

constexpr const char *tierHeader = "Monsoonward-Tier"; ///< name or level of the tier
constexpr const char *deadlineHeader = "Monsoonward-Deadline"; ///< milliseconds from now
constexpr const char *idempotencyHeader = "Idempotency-Key";
constexpr const char *verdictHeader = "Monsoonward-Verdict";
constexpr const char *requestIdHeader = "Monsoonward-Request-Id";

/// @brief A caller's HTTP request.
struct HttpRequest
{
    std::string method;
    std::string path; ///< with the query
    HeaderList headers;
    std::string body;
    MONSOONWARD_FIELDS(method, path, headers, body)
};

/// @brief A request that may be submitted: whose, for what, and what goes to the engine.
struct CallerCall
{
    RequestSpec spec; ///< without ID and deadline
    Duration timeLeft {}; ///< until the deadline
    HttpRequest forwarded;
    MONSOONWARD_FIELDS(spec, timeLeft, forwarded)
};

/// @brief A final answer that the daemon words itself.
struct HttpReply
{
    unsigned status = 0;
    HeaderList headers;
    std::string body;
    MONSOONWARD_FIELDS(status, headers, body)
};

/// @return the value of a header, by name in any case, or null
const std::string *findHeader(const HeaderList &headers, const char *name);
/// @return @p headers without those that concern one connection only, and without framing and credentials
HeaderList endToEndHeaders(const HeaderList &headers);

/// @brief Reads a caller's request.
/// @return the call, or the reply that refuses it; nothing has run then
std::variant<CallerCall, HttpReply>
parseCall(const HttpRequest &request, const Configuration &configuration, const CustomerKeys &keys);

/// @return a refusal before a request was submitted; its verdict is not-run
HttpReply refusalBeforeSubmit(unsigned status, const std::string &reason, const std::string &detail);
/// @return the answer to a submitted request that has no result
HttpReply refusalReply(const RequestId &id, const Refusal &refusal);

} // namespace monsoonward
