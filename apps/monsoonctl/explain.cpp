#include "explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <istream>
#include <map>
#include <set>
#include <sstream>
#include <vector>

namespace monsoonctl
{

namespace
{

using Json = nlohmann::json;

/// Records that are up to this much older than the request may explain its outcome.
constexpr std::int64_t contextMs = 10000;
constexpr int firstContextEvent = 4000; // from here on: configuration, store, engines, gateways; see docs/EVENTS.md
constexpr int firstRequestEvent = 6001;
constexpr int lastRequestEvent = 6003;
constexpr int firstLimitEvent = 6107; // what an engine states holds until it states something else
constexpr int lastLimitEvent = 6108;
constexpr const char *limitedReason = "engines-limited";

template<class T>
T fieldOr(const Json &record, const char *name, T defaultValue)
{
    const auto it = record.find(name);
    if (it == record.end()) {
        return defaultValue;
    }
    return it->get<T>();
}

bool isRecord(const Json &json)
{
    return json.is_object() && json.contains("time") && json["time"].is_number_integer() && json.contains("host")
        && json["host"].is_string() && json.contains("event") && json["event"].is_number_integer()
        && json.contains("what") && json["what"].is_string();
}

std::string requestOf(const Json &record)
{
    const auto it = record.find("request");
    return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// @param hasOneRequest the explanation is about one request, whose ID isn't repeated in each line
std::string formatRecord(const Json &record, bool hasOneRequest)
{
    static const std::set<std::string> headerFields {"time", "host", "what", "life", "severity", "event"};
    std::ostringstream out;
    out << record["time"].get<std::int64_t>() << " " << record["host"].get<std::string>() << " "
        << record["what"].get<std::string>();
    for (const auto &[name, value] : record.items()) {
        const bool isEmpty = value.is_string() && value.get<std::string>().empty();
        const bool isHidden = headerFields.count(name) != 0 || (hasOneRequest && name == "request");
        if (!isHidden && !isEmpty) {
            out << " " << name << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return out.str();
}

bool isLimitRecord(const Json &record)
{
    const auto event = record["event"].get<int>();
    return event >= firstLimitEvent && event <= lastLimitEvent;
}

bool isEarlier(const Json &a, const Json &b)
{
    return a["time"].get<std::int64_t>() < b["time"].get<std::int64_t>();
}

/// @brief What the records of a request tell about which other records explain it.
struct Involved
{
    explicit Involved(const std::vector<Json> &records)
        : from(records.front()["time"].get<std::int64_t>())
        , until(from)
    {
        for (const auto &it : records) {
            const auto time = it["time"].get<std::int64_t>();
            hosts.insert(it["host"].get<std::string>());
            engines.insert(fieldOr<std::string>(it, "engine", ""));
            from = std::min(from, time - fieldOr<std::int64_t>(it, "after_ms", 0));
            until = std::max(until, time);
            isRefusedForLimits = isRefusedForLimits || fieldOr<std::string>(it, "reason", "") == limitedReason;
        }
    }

    bool explains(const Json &record) const
    {
        const auto time = record["time"].get<std::int64_t>();
        const auto engine = fieldOr<std::string>(record, "engine", "");
        return time >= from - contextMs && time <= until && hosts.count(record["host"].get<std::string>()) != 0
            && (engine.empty() || engines.count(engine) != 0);
    }

    /// @return whether the record tells a limit that may have decided; the newest one for each engine holds
    bool mayExplainLimit(const Json &record) const
    {
        return isLimitRecord(record) && record["time"].get<std::int64_t>() <= until
            && hosts.count(record["host"].get<std::string>()) != 0
            && (isRefusedForLimits || engines.count(fieldOr<std::string>(record, "engine", "")) != 0);
    }

    std::set<std::string> hosts;
    std::set<std::string> engines;
    std::int64_t from;
    std::int64_t until;
    bool isRefusedForLimits = false;
};

} // namespace

void StreamChain::read(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        if (line.find("\"resumes\":\"") == std::string::npos) {
            continue; // parsing takes most of the time
        }
        const auto record = Json::parse(line, nullptr, false);
        if (isRecord(record)) {
            if (const auto first = fieldOr<std::string>(record, "resumes", ""); !first.empty()) {
                m_firstRequests[requestOf(record)] = first;
            }
        }
    }
}

std::set<std::string> StreamChain::requestsWith(const std::string &request) const
{
    const auto known = m_firstRequests.find(request);
    const auto &first = known == m_firstRequests.end() ? request : known->second;
    std::set<std::string> requests {request, first};
    for (const auto &it : m_firstRequests) {
        if (it.second == first) {
            requests.insert(it.first);
        }
    }
    return requests;
}

struct Explanation::Data
{
    std::set<std::string> requests;
    std::vector<Json> requestRecords; // records of the requests
    std::vector<Json> contextRecords; // records about engines, the configuration, the store and other gateways
    unsigned malformedLineCount = 0;
};

Explanation::Explanation(std::set<std::string> requests)
    : m_data(std::make_unique<Data>())
{
    m_data->requests = std::move(requests);
}

Explanation::~Explanation() = default;

void Explanation::read(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        auto record = Json::parse(line, nullptr, false);
        if (!isRecord(record)) {
            m_data->malformedLineCount += line.empty() ? 0 : 1;
            continue;
        }
        const auto event = record["event"].get<int>();
        if (m_data->requests.count(requestOf(record)) != 0) {
            m_data->requestRecords.push_back(std::move(record));
        } else if (event >= firstContextEvent && (event < firstRequestEvent || event > lastRequestEvent)) {
            m_data->contextRecords.push_back(std::move(record));
        }
    }
}

std::string Explanation::text() const
{
    if (m_data->requestRecords.empty()) {
        return {};
    }
    auto records = m_data->requestRecords;
    const Involved involved(records);
    std::map<std::pair<std::string, std::string>, Json> limits; // newest one by host and engine
    for (const auto &it : m_data->contextRecords) {
        if (involved.mayExplainLimit(it)) {
            auto &newest = limits[{it["host"].get<std::string>(), fieldOr<std::string>(it, "engine", "")}];
            newest = newest.is_null() || !isEarlier(it, newest) ? it : newest;
        } else if (involved.explains(it)) {
            records.push_back(it);
        }
    }
    for (const auto &it : limits) {
        records.push_back(it.second);
    }
    std::stable_sort(records.begin(), records.end(), isEarlier);
    std::string text;
    for (const auto &it : records) {
        text += formatRecord(it, m_data->requests.size() == 1) + "\n";
    }
    return text;
}

unsigned Explanation::malformedLines() const
{
    return m_data->malformedLineCount;
}

} // namespace monsoonctl
