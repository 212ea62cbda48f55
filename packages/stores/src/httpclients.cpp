#include "monsoonward/stores/httpclients.h"

#include "etcdjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusPreconditionFailed = 412;
constexpr unsigned firstSuccess = 200;
constexpr unsigned lastSuccess = 299;
constexpr unsigned firstServerError = 500;

bool isSuccess(unsigned status)
{
    return status >= firstSuccess && status <= lastSuccess;
}

/// Turns every error of a read into Unavailable: a read has no effect, so Unknown does not apply.
Error asReadError(const Error &error)
{
    return {ErrorCode::Unavailable, error.message};
}

Error readStatusError(const std::string &service, unsigned status)
{
    return {ErrorCode::Unavailable, service + " answered with HTTP status " + std::to_string(status)};
}

/// A write that was rejected (below 500) had no effect; after a server error it may have taken effect.
Error writeStatusError(const std::string &service, unsigned status)
{
    const auto code = status >= firstServerError ? ErrorCode::Unknown : ErrorCode::Unavailable;
    return {code, service + " answered with HTTP status " + std::to_string(status)};
}

Result<std::vector<ListedHost>> parseHosts(const std::string &body)
{
    try {
        std::vector<ListedHost> hosts;
        for (const auto &group : nlohmann::json::parse(body)) {
            const auto labels = group.value("labels", nlohmann::json::object());
            const bool leaving = labels.value("state", std::string()) == "leaving";
            for (const auto &it : group.at("targets")) {
                hosts.push_back({HostName(it.get<std::string>()), leaving});
            }
        }
        return hosts;
    } catch (const std::exception &error) {
        return Error {ErrorCode::Unavailable, std::string("malformed response from the host list: ") + error.what()};
    }
}

/// @return @p name with every byte except letters, digits, '-', '_' and '.' written as %XX
std::string percentEncode(const std::string &name)
{
    const auto *const digits = "0123456789ABCDEF";
    std::string text;
    for (const unsigned char it : name) {
        if (std::isalnum(it) != 0 || it == '-' || it == '_' || it == '.') {
            text.push_back(static_cast<char>(it));
        } else {
            text += {'%', digits[it / 16], digits[it % 16]};
        }
    }
    return text;
}

} // namespace

HttpTable::HttpTable(HttpWorkers &workers, const HttpService &service)
    : m_workers(workers)
    , m_service(service)
{
}

HttpCall HttpTable::call(const std::string &path, const std::string &body) const
{
    return {m_service.address, "POST", path, {{"Content-Type", "application/json"}}, body, m_service.timeout};
}

void HttpTable::read(const std::string &key, ReadCallback done)
{
    m_workers.submit(call("/v3/kv/range", rangeRequest(key)), [done](const Result<HttpResponse> &response) {
        if (!response) {
            return done(asReadError(response.error()));
        }
        if (response.value().status != statusOk) {
            return done(readStatusError("the table service", response.value().status));
        }
        const auto rows = parseRangeResponse(response.value().body);
        if (!rows) {
            return done(rows.error());
        }
        done(rows.value().empty() ? std::nullopt : std::optional<Row>(rows.value().front()));
    });
}

void HttpTable::scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done)
{
    m_workers.submit(call("/v3/kv/range", scanRequest(prefix, after, limit)),
                     [done](const Result<HttpResponse> &response) {
                         if (!response) {
                             return done(asReadError(response.error()));
                         }
                         if (response.value().status != statusOk) {
                             return done(readStatusError("the table service", response.value().status));
                         }
                         done(parseRangeResponse(response.value().body));
                     });
}

void HttpTable::write(const std::vector<RowWrite> &writes, WriteCallback done)
{
    m_workers.submit(call("/v3/kv/txn", txnRequest(writes)), [done](const Result<HttpResponse> &response) {
        if (!response) {
            return done(response.error());
        }
        if (response.value().status != statusOk) {
            return done(writeStatusError("the table service", response.value().status));
        }
        done(parseTxnResponse(response.value().body));
    });
}

HttpObjectStore::HttpObjectStore(HttpWorkers &workers, const HttpService &service)
    : m_workers(workers)
    , m_service(service)
{
}

void HttpObjectStore::get(const std::string &name, GetCallback done)
{
    const HttpCall call {m_service.address, "GET", "/objects/" + percentEncode(name), {}, {}, m_service.timeout};
    m_workers.submit(call, [done, name](const Result<HttpResponse> &response) {
        if (!response) {
            return done(asReadError(response.error()));
        }
        if (response.value().status == statusNotFound) {
            return done(Error {ErrorCode::NotFound, "object \"" + name + "\" does not exist"});
        }
        if (response.value().status != statusOk) {
            return done(readStatusError("the object store", response.value().status));
        }
        done(response.value().body);
    });
}

void HttpObjectStore::put(const std::string &name, const std::string &bytes, PutCallback done)
{
    const HttpCall call {m_service.address,
                         "PUT",
                         "/objects/" + percentEncode(name),
                         {{"If-None-Match", "*"}, {"Content-Type", "application/octet-stream"}},
                         bytes,
                         m_service.timeout};
    m_workers.submit(call, [done](const Result<HttpResponse> &response) {
        if (!response) {
            return done(response.error());
        }
        if (isSuccess(response.value().status) || response.value().status == statusPreconditionFailed) {
            return done(boost::outcome_v2::success());
        }
        done(writeStatusError("the object store", response.value().status));
    });
}

HttpHostList::HttpHostList(HttpWorkers &workers, const HttpService &service)
    : m_workers(workers)
    , m_service(service)
{
}

void HttpHostList::fetch(Callback done)
{
    const HttpCall call {m_service.address, "GET", "/hosts", {}, {}, m_service.timeout};
    m_workers.submit(call, [done](const Result<HttpResponse> &response) {
        if (!response) {
            return done(asReadError(response.error()));
        }
        if (response.value().status != statusOk) {
            return done(readStatusError("the host list", response.value().status));
        }
        done(parseHosts(response.value().body));
    });
}

} // namespace monsoonward
