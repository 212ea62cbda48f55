#include "callerrequest.h"

#include "boundedjson.h"
#include "promptprefix.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxIdempotencyKeyLength = 255;
constexpr std::uint64_t maxDeadlineMs = std::uint64_t {24} * 3600 * 1000;
constexpr auto fallbackDeadline = std::chrono::seconds(60);
constexpr std::size_t bytesPerToken = 4;
constexpr std::uint32_t fallbackOutputTokens = 256;
constexpr std::uint32_t maxOutputTokens = 1000000;
const std::string servicesPath = "/services/";
const std::string bearerPrefix = "Bearer ";

/// Thrown by the parsing functions of this file and caught in parseCallerRequest().
struct RefusedRequest
{
    HttpReply reply;
};

[[noreturn]] void refuse(unsigned status, const std::string &reason, const std::string &detail)
{
    throw RefusedRequest {refusalBeforeSubmit(status, reason, detail)};
}

bool equalsIgnoringCase(const std::string &a, const char *b)
{
    return strcasecmp(a.c_str(), b) == 0;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t n = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data(), end, n);
    return ec == std::errc() && parsedEnd == end ? std::optional(n) : std::nullopt;
}

const CustomerSpec &customerOf(const HttpRequest &request, const CustomerKeys &keys)
{
    const auto *header = findHeader(request.headers, "Authorization");
    const bool isBearer = header != nullptr && header->compare(0, bearerPrefix.size(), bearerPrefix) == 0;
    const auto *customer = isBearer ? keys.find(std::string_view(*header).substr(bearerPrefix.size())) : nullptr;
    if (customer == nullptr) {
        refuse(401, "unauthorized", "a customer's key is needed: Authorization: Bearer KEY");
    }
    return *customer;
}

const TierSpec *findTier(const Configuration &configuration, const std::string &text)
{
    const auto level = parseNumber(text);
    for (const auto &it : configuration.tiers) {
        if (it.name == text || (level && it.tier.level() == *level)) {
            return &it;
        }
    }
    return nullptr;
}

/// @return the requested tier; by default the least urgent one that the customer may use
Tier tierOf(const HttpRequest &request, const Configuration &configuration, const CustomerSpec &customer)
{
    const auto *header = findHeader(request.headers, tierHeader);
    if (header == nullptr) {
        const auto last = std::max_element(customer.tiers.begin(), customer.tiers.end());
        if (last == customer.tiers.end()) {
            refuse(403, "tier-not-allowed", "customer \"" + customer.name.text() + "\" may use no tier");
        }
        return *last;
    }
    const auto *tier = findTier(configuration, *header);
    const bool allowed =
        tier != nullptr && std::find(customer.tiers.begin(), customer.tiers.end(), tier->tier) != customer.tiers.end();
    if (!allowed) {
        refuse(
            403, "tier-not-allowed", "customer \"" + customer.name.text() + "\" may not use tier \"" + *header + "\"");
    }
    return tier->tier;
}

Duration timeLeftOf(const HttpRequest &request, const Configuration &configuration, Tier tier)
{
    const auto *header = findHeader(request.headers, deadlineHeader);
    if (header == nullptr) {
        const auto it = std::find_if(configuration.tiers.begin(), configuration.tiers.end(), [&](const TierSpec &spec) {
            return spec.tier == tier;
        });
        const bool declared = it != configuration.tiers.end() && it->defaultDeadline > Duration::zero();
        return declared ? it->defaultDeadline : Duration(fallbackDeadline);
    }
    const auto ms = parseNumber(*header);
    if (!ms || *ms == 0 || *ms > maxDeadlineMs) {
        refuse(400,
               "invalid-deadline",
               std::string(deadlineHeader) + " \"" + *header + "\" isn't a number of milliseconds from 1 to "
                   + std::to_string(maxDeadlineMs));
    }
    return std::chrono::milliseconds(*ms);
}

std::string idempotencyKeyOf(const HttpRequest &request)
{
    const auto *header = findHeader(request.headers, idempotencyHeader);
    if (header == nullptr) {
        return {};
    }
    const bool printable =
        std::all_of(header->begin(), header->end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
    if (header->empty() || header->size() > maxIdempotencyKeyLength || !printable) {
        refuse(400, "invalid-idempotency-key", "Idempotency-Key needs 1 to 255 printable characters without blanks");
    }
    return *header;
}

const ServiceSpec &serviceOf(const Configuration &configuration, const std::string &name, ServiceKind kind)
{
    const auto *service = find(configuration.services, ServiceName(name));
    if (service == nullptr || service->kind != kind) {
        const std::string what = kind == ServiceKind::Model ? "model" : "plain service";
        refuse(404, "unknown-service", "there is no " + what + " \"" + name + "\"");
    }
    return *service;
}

std::uint32_t outputTokensOf(const nlohmann::json &body)
{
    for (const auto *key : {"max_completion_tokens", "max_tokens"}) {
        const auto it = body.find(key);
        if (it != body.end() && it->is_number_unsigned()) {
            return static_cast<std::uint32_t>(std::min<std::uint64_t>(it->get<std::uint64_t>(), maxOutputTokens));
        }
    }
    return fallbackOutputTokens;
}

std::string modelOf(const nlohmann::json &body)
{
    const auto it = body.is_object() ? body.find("model") : body.end();
    if (!body.is_object() || it == body.end() || !it->is_string()) {
        refuse(400, "invalid-body", "the body's \"model\" must name a service");
    }
    return it->get<std::string>();
}

void readModelRequest(const HttpRequest &request, const Configuration &configuration, ParsedRequest &parsed)
{
    if (request.method != "POST") {
        refuse(405, "method-not-allowed", request.method + " " + request.path + ": completions are asked for by POST");
    }
    const auto body = parseBoundedJson(request.body);
    if (!body) {
        refuse(400, "invalid-body", "the body: " + body.error().message);
    }
    const auto &service = serviceOf(configuration, modelOf(body.value()), ServiceKind::Model);
    parsed.spec.service = service.name;
    parsed.spec.idempotent = parsed.spec.idempotencyKey.empty();
    parsed.spec.outputTokens = outputTokensOf(body.value());
    const auto prompt = promptText(body.value());
    parsed.spec.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1);
    parsed.spec.prefixes = prefixHashes(service.name, prompt);
    parsed.forwarded.path = request.path;
}

bool isRepeatable(const ServiceSpec &service, const std::string &method, const std::string &path)
{
    return std::any_of(service.repeatableCalls.begin(), service.repeatableCalls.end(), [&](const RepeatableCall &it) {
        return it.method == method && path.compare(0, it.pathPrefix.size(), it.pathPrefix) == 0;
    });
}

void readPlainServiceRequest(const HttpRequest &request, const Configuration &configuration, ParsedRequest &parsed)
{
    const auto end = std::min(request.path.find_first_of("/?", servicesPath.size()), request.path.size());
    const auto name = request.path.substr(servicesPath.size(), end - servicesPath.size());
    const auto &service = serviceOf(configuration, name, ServiceKind::Plain);
    const auto rest = request.path.substr(end);
    parsed.forwarded.path = rest.empty() || rest[0] != '/' ? "/" + rest : rest;
    parsed.spec.service = service.name;
    parsed.spec.idempotent =
        parsed.spec.idempotencyKey.empty() && isRepeatable(service, request.method, parsed.forwarded.path);
}

ParsedRequest readRequest(const HttpRequest &request, const Configuration &configuration, const CustomerKeys &keys)
{
    const auto &customer = customerOf(request, keys);
    ParsedRequest parsed;
    parsed.spec.customer = customer.name;
    parsed.spec.weight = customer.weight;
    parsed.spec.tier = tierOf(request, configuration, customer);
    parsed.spec.idempotencyKey = idempotencyKeyOf(request);
    parsed.spec.bodyBytes = request.body.size();
    parsed.timeLeft = timeLeftOf(request, configuration, parsed.spec.tier);
    const auto path = request.path.substr(0, request.path.find('?'));
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        readModelRequest(request, configuration, parsed);
    } else if (path.compare(0, servicesPath.size(), servicesPath) == 0) {
        readPlainServiceRequest(request, configuration, parsed);
    } else {
        refuse(404, "unknown-path", "there is nothing at \"" + path + "\"");
    }
    parsed.spec.fingerprint = requestFingerprint(customer.name, parsed.spec.service, request.body);
    parsed.forwarded.method = request.method;
    parsed.forwarded.headers = endToEndHeaders(request.headers);
    parsed.forwarded.body = request.body;
    return parsed;
}

unsigned statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::CustomerLimit:
        return 429;
    case RefusalReason::DeadlineImpossible:
    case RefusalReason::SuspectedCrash:
        return 422;
    case RefusalReason::Expired:
        return 504;
    case RefusalReason::DuplicateKey:
        return 409;
    case RefusalReason::CallerGone:
        return 408;
    case RefusalReason::TargetLost:
    case RefusalReason::EngineFailed:
        return 502;
    case RefusalReason::Internal:
        return 500;
    case RefusalReason::Shed:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::StoreUnavailable:
    case RefusalReason::NoTarget:
    case RefusalReason::Stopping:
        break;
    }
    return 503;
}

HttpReply jsonReply(unsigned status, const std::string &reason, Verdict verdict, const std::string &detail)
{
    HttpReply reply;
    reply.status = status;
    reply.headers = {{"Content-Type", "application/json"}, {verdictHeader, textOf(verdict)}};
    const nlohmann::json body = {{"reason", reason},
                                 {"verdict", textOf(verdict)},
                                 {"detail", detail},
                                 {"error", {{"message", detail}, {"type", reason}}}};
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return reply;
}

std::string ceilToSeconds(Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(std::max(duration, Duration::zero()));
    return std::to_string(std::max<std::int64_t>(seconds.count(), 1));
}

} // namespace

const std::string *findHeader(const HeaderList &headers, const char *name)
{
    for (const auto &it : headers) {
        if (equalsIgnoringCase(it.first, name)) {
            return &it.second;
        }
    }
    return nullptr;
}

HeaderList endToEndHeaders(const HeaderList &headers)
{
    constexpr std::array<const char *, 13> removedHeaders {"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "Proxy-Connection",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Content-Length",
                                                           "Expect",
                                                           "Host",
                                                           "Authorization"};
    HeaderList kept;
    for (const auto &it : headers) {
        const bool isDropped = std::any_of(removedHeaders.begin(), removedHeaders.end(), [&it](const char *name) {
            return equalsIgnoringCase(it.first, name);
        });
        if (!isDropped) {
            kept.push_back(it);
        }
    }
    return kept;
}

std::variant<ParsedRequest, HttpReply>
parseCallerRequest(const HttpRequest &request, const Configuration &configuration, const CustomerKeys &keys)
{
    try {
        return readRequest(request, configuration, keys);
    } catch (const RefusedRequest &it) {
        return it.reply;
    }
}

HttpReply refusalBeforeSubmit(unsigned status, const std::string &reason, const std::string &detail)
{
    return jsonReply(status, reason, Verdict::NotRun, detail);
}

HttpReply refusalReply(const RequestId &id, const Refusal &refusal)
{
    auto reply = jsonReply(statusOf(refusal.reason), textOf(refusal.reason), refusal.verdict, refusal.detail);
    reply.headers.emplace_back(requestIdHeader, textOf(id));
    if (refusal.retryAfter) {
        reply.headers.emplace_back("Retry-After", ceilToSeconds(*refusal.retryAfter));
    }
    return reply;
}

} // namespace monsoonward
