#include "etcdjson.h"

#include <cxxtools/base64codec.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoonward
{

namespace
{

using Json = nlohmann::json;

/// @return the exclusive end of the range of all keys with @p prefix
std::string rangeEndOf(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0'); // in the etcd API a range end of "\0" means the end of the table
    }
    ++prefix.back();
    return prefix;
}

/// Reads a number, which may be a decimal string; the JSON gateway leaves out fields that are 0.
std::uint64_t readNumber(const Json &json, const char *field)
{
    const auto it = json.find(field);
    if (it == json.end()) {
        return 0;
    }
    return it->is_string() ? std::stoull(it->get<std::string>()) : it->get<std::uint64_t>();
}

Row parseRow(const Json &json)
{
    Row row;
    row.key = fromBase64(json.at("key").get<std::string>());
    row.value = fromBase64(json.value("value", std::string()));
    row.version = readNumber(json, "mod_revision");
    return row;
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    return bytes.empty() ? std::string() : cxxtools::Base64Codec::encode(bytes);
}

std::string fromBase64(const std::string &text)
{
    return text.empty() ? std::string() : cxxtools::Base64Codec::decode(text);
}

std::string rangeRequest(const std::string &key)
{
    return Json {{"key", toBase64(key)}}.dump();
}

std::string scanRequest(const std::string &prefix, const std::string &after, std::size_t limit)
{
    const auto first = after < prefix ? prefix : after + '\0';
    return Json {
        {"key", toBase64(first)}, {"range_end", toBase64(rangeEndOf(prefix))}, {"limit", std::to_string(limit)}}
        .dump();
}

std::string txnRequest(const std::vector<RowWrite> &writes)
{
    Json compare = Json::array();
    Json success = Json::array();
    for (const auto &it : writes) {
        const auto key = toBase64(it.key);
        if (it.expectedVersion) {
            compare.push_back({{"key", key},
                               {"target", "MOD"},
                               {"result", "EQUAL"},
                               {"mod_revision", std::to_string(*it.expectedVersion)}});
        }
        if (it.value) {
            success.push_back({{"request_put", {{"key", key}, {"value", toBase64(*it.value)}}}});
        } else {
            success.push_back({{"request_delete_range", {{"key", key}}}});
        }
    }
    return Json {{"compare", compare}, {"success", success}}.dump();
}

Result<std::vector<Row>> parseRangeResponse(const std::string &body)
{
    try {
        const auto json = Json::parse(body);
        std::vector<Row> rows;
        for (const auto &it : json.value("kvs", Json::array())) {
            rows.push_back(parseRow(it));
        }
        return rows;
    } catch (const std::exception &error) {
        return Error {ErrorCode::Unavailable,
                      std::string("malformed response from the table service: ") + error.what()};
    }
}

Result<void> parseTxnResponse(const std::string &body)
{
    try {
        if (Json::parse(body).value("succeeded", false)) {
            return boost::outcome_v2::success();
        }
        return Error {ErrorCode::Conflict, "another writer has changed a row"};
    } catch (const std::exception &error) {
        return Error {ErrorCode::Unknown, std::string("malformed response from the table service: ") + error.what()};
    }
}

} // namespace monsoonward
