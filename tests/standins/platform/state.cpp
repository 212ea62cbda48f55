#include "state.h"

#include <cxxtools/base64codec.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace standin
{

namespace
{

using Json = nlohmann::json;

std::string decodeField(const Json &json, const char *field)
{
    const auto text = json.value(field, std::string());
    return text.empty() ? text : cxxtools::Base64Codec::decode(text);
}

std::string encodeBase64(const std::string &bytes)
{
    return bytes.empty() ? bytes : cxxtools::Base64Codec::encode(bytes);
}

std::uint64_t numberField(const Json &json, const char *field)
{
    const auto it = json.find(field);
    if (it == json.end()) {
        return 0;
    }
    return it->is_string() ? std::stoull(it->get<std::string>()) : it->get<std::uint64_t>();
}

Answer methodNotAllowed()
{
    return {405, "{}"};
}

} // namespace

void State::handle(const HttpRequest &call, HttpResponder &responder)
{
    const auto it = answer(call);
    if (it.cut) {
        responder.cut();
        return;
    }
    responder.respond(it.status, "application/json", it.body);
}

Answer State::answer(const HttpRequest &call)
{
    try {
        if (call.target.rfind("/admin/", 0) == 0) {
            const std::lock_guard lock(m_mutex);
            return handleAdmin(call);
        }
        unsigned slowMs = 0;
        {
            const std::lock_guard lock(m_mutex);
            slowMs = m_faults.slowMs;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(slowMs));
        const std::lock_guard lock(m_mutex);
        auto answer = handlePlatform(call);
        count(call, answer);
        return answer;
    } catch (const std::exception &error) {
        return {400, Json {{"error", error.what()}}.dump()};
    }
}

Answer State::handleAdmin(const HttpRequest &call)
{
    if (call.target == "/admin/faults") {
        const auto json = Json::parse(call.body);
        m_faults.down = json.value("down", false);
        m_faults.slowMs = json.value("slowMs", 0U);
        m_faults.loseNextAnswer = json.value("loseNextAnswer", false);
        return {};
    }
    if (call.target == "/admin/hosts") {
        m_hosts = Json::parse(call.body).dump();
        return {};
    }
    if (call.target == "/admin/stats") {
        return {
            200,
            Json {{"reads", m_reads}, {"writes", m_writes}, {"bytesIn", m_bytesIn}, {"bytesOut", m_bytesOut}}.dump()};
    }
    return {404, "{}"};
}

Answer State::handlePlatform(const HttpRequest &call)
{
    if (call.target == "/hosts") {
        return {200, m_hosts};
    }
    if (m_faults.down) {
        return {503, {}, true};
    }
    if (call.target == "/v3/kv/range") {
        return handleRange(call.body);
    }
    if (call.target == "/v3/kv/txn") {
        return handleTxn(call.body);
    }
    if (call.target.rfind("/objects/", 0) == 0) {
        return handleObject(call);
    }
    return {404, "{}"};
}

void State::count(const HttpRequest &call, const Answer &answer)
{
    const bool isWrite = call.target == "/v3/kv/txn" || call.method == "PUT";
    ++(isWrite ? m_writes : m_reads);
    m_bytesIn += call.body.size();
    m_bytesOut += answer.body.size();
}

Answer State::handleRange(const std::string &body) const
{
    const auto json = Json::parse(body);
    const auto first = decodeField(json, "key");
    const auto last = decodeField(json, "range_end");
    const auto limit = numberField(json, "limit");
    auto it = m_rows.lower_bound(first);
    Json kvs = Json::array();
    const auto inRange = [&](const std::string &key) {
        return last.empty() ? key == first : last == std::string(1, '\0') || key < last;
    };
    while (it != m_rows.end() && inRange(it->first) && (limit == 0 || kvs.size() < limit)) {
        kvs.push_back({{"key", encodeBase64(it->first)},
                       {"value", encodeBase64(it->second.value)},
                       {"mod_revision", std::to_string(it->second.modRevision)},
                       {"version", std::to_string(it->second.version)}});
        ++it;
    }
    const bool more = it != m_rows.end() && inRange(it->first);
    return {200, Json {{"header", {{"revision", std::to_string(m_revision)}}}, {"kvs", kvs}, {"more", more}}.dump()};
}

Answer State::handleTxn(const std::string &body)
{
    const auto json = Json::parse(body);
    bool conditionsHold = true;
    for (const auto &it : json.value("compare", Json::array())) {
        const auto row = m_rows.find(decodeField(it, "key"));
        const bool byModRevision = it.value("target", std::string()) == "MOD";
        const auto current = row == m_rows.end() ? 0 : byModRevision ? row->second.modRevision : row->second.version;
        conditionsHold = conditionsHold && current == numberField(it, byModRevision ? "mod_revision" : "version");
    }
    if (conditionsHold) {
        ++m_revision;
    }
    for (const auto &it : json.value(conditionsHold ? "success" : "failure", Json::array())) {
        if (it.contains("request_put")) {
            auto &row = m_rows[decodeField(it["request_put"], "key")];
            row = {decodeField(it["request_put"], "value"), m_revision, row.version + 1};
        } else if (it.contains("request_delete_range")) {
            m_rows.erase(decodeField(it["request_delete_range"], "key"));
        }
    }
    const bool cut = std::exchange(m_faults.loseNextAnswer, false);
    return {
        200, Json {{"header", {{"revision", std::to_string(m_revision)}}}, {"succeeded", conditionsHold}}.dump(), cut};
}

Answer State::handleObject(const HttpRequest &call)
{
    const auto name = call.target.substr(std::string("/objects/").size());
    const auto it = m_objects.find(name);
    if (call.method == "GET") {
        return it == m_objects.end() ? Answer {404, "{}"} : Answer {200, it->second};
    }
    if (call.method != "PUT") {
        return methodNotAllowed();
    }
    if (call.header("If-None-Match") == "*" && it != m_objects.end()) {
        return {412, "{}"};
    }
    m_objects[name] = call.body;
    return {201, "{}", std::exchange(m_faults.loseNextAnswer, false)};
}

} // namespace standin
