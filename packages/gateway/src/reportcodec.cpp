#include "reportcodec.h"

#include "reportentries.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace monsoonward
{

using Json = nlohmann::json;

namespace
{

// Names of the fields in a datagram, short because reports are sent many times a second.
constexpr const char *hostField = "h";
constexpr const char *incarnationField = "l";
constexpr const char *sequenceField = "n";
constexpr const char *requestsField = "r";
constexpr const char *demandField = "d";
constexpr const char *spentField = "s";
constexpr const char *forwardField = "f";
constexpr const char *askField = "a";
constexpr const char *leavingField = "v";
constexpr const char *eraField = "e";
constexpr const char *revisionField = "c";
constexpr const char *provenField = "p";
constexpr const char *engineVersionField = "ve";
constexpr const char *gatewayVersionField = "vg";
constexpr const char *provenVersionField = "vp";
constexpr const char *uptimeField = "u"; // milliseconds
constexpr auto maxMilliseconds =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 1'000'000); // fits into Duration

const std::set<std::string> fixedFields {hostField,
                                         incarnationField,
                                         sequenceField,
                                         requestsField,
                                         demandField,
                                         spentField,
                                         forwardField,
                                         askField,
                                         leavingField,
                                         eraField,
                                         revisionField,
                                         provenField,
                                         engineVersionField,
                                         gatewayVersionField,
                                         provenVersionField,
                                         uptimeField};

/// @return the entry with the field's name; nullptr if there is none
template<class Entry>
const Entry *findEntry(const std::vector<Entry> &entries, const std::string &field)
{
    const auto it = std::find_if(entries.begin(), entries.end(), [&](const Entry &n) { return field == n.field; });
    return it == entries.end() ? nullptr : &*it;
}

/// Builds a report from the events of a parser. Fields of later versions are skipped. Anything else that a report can't
/// hold ends the parsing, before nested data can exhaust the stack.
class ReportReader : public Json::json_sax_t
{
public:
    /// @return the report, or nothing if a required field is missing or incomplete
    std::optional<LoadReport> result() &&
    {
        if (!m_hasHost || !m_hasIncarnation || !m_hasSequence || !m_hasRequests || m_hasDemand != m_hasSpent) {
            return std::nullopt;
        }
        for (const auto &it : numberListEntries()) {
            if (!it.read(m_lists[it.field], m_report)) {
                return std::nullopt;
            }
        }
        for (const auto &it : namedNumbersEntries()) {
            if (!it.read(m_named[it.field], m_report)) {
                return std::nullopt;
            }
        }
        m_report.isLoadOnly = !m_hasDemand;
        if (!m_hasUptime && m_hasDemand) {
            m_report.uptime = Duration::max(); // an earlier version doesn't state it
        }
        return std::move(m_report);
    }

    bool null() override
    {
        return m_isUnknownField;
    }
    bool boolean(bool value) override
    {
        m_report.shouldForward = m_report.shouldForward || (value && m_field == forwardField);
        m_report.asksForReport = m_report.asksForReport || (value && m_field == askField);
        return m_isUnknownField || (m_depth == 1 && (m_field == forwardField || m_field == askField));
    }
    bool number_integer(Json::number_integer_t value) override
    {
        return value >= 0 ? number_unsigned(static_cast<std::uint64_t>(value)) : negativeNumber(value);
    }
    bool number_unsigned(Json::number_unsigned_t value) override
    {
        return m_isUnknownField || (m_depth == 1 ? topLevelNumber(value) : m_depth == 2 && entry(value));
    }
    bool number_float(Json::number_float_t /*value*/, const std::string & /*text*/) override
    {
        return m_isUnknownField;
    }
    bool string(std::string &value) override
    {
        if (m_depth == 1 && m_field == hostField) {
            m_report.host = HostName(value);
            m_hasHost = !value.empty();
            return m_hasHost;
        }
        if (m_depth == 2 && m_field == leavingField) {
            m_report.leavingEngines.insert(EngineName(value));
            return true;
        }
        return m_isUnknownField;
    }
    bool binary(Json::binary_t & /*value*/) override
    {
        return false;
    }
    bool start_object(std::size_t /*size*/) override
    {
        if (++m_depth == 1) {
            return true;
        }
        m_hasRequests = m_hasRequests || m_field == requestsField;
        m_hasDemand = m_hasDemand || m_field == demandField;
        m_hasSpent = m_hasSpent || m_field == spentField;
        return m_depth == 2
            && (m_isUnknownField || m_field == requestsField || m_field == demandField || m_field == spentField
                || m_isNamedNumbers);
    }
    bool key(std::string &value) override
    {
        if (m_depth == 1) {
            m_field = value;
            m_isNumberList = findEntry(numberListEntries(), value) != nullptr;
            m_isNamedNumbers = findEntry(namedNumbersEntries(), value) != nullptr;
            m_isUnknownField = !m_isNumberList && !m_isNamedNumbers && fixedFields.count(value) == 0;
        } else {
            m_entry = value;
        }
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        m_isArray = ++m_depth == 2;
        return m_isArray && (m_isUnknownField || m_field == leavingField || m_isNumberList);
    }
    bool end_array() override
    {
        m_isArray = false;
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*at*/, const std::string & /*token*/, const Json::exception & /*error*/) override
    {
        return false;
    }

private:
    bool topLevelNumber(std::uint64_t value)
    {
        if (m_field == incarnationField) {
            m_report.incarnation = value;
            m_hasIncarnation = true;
        } else if (m_field == sequenceField) {
            m_report.sequenceNumber = value;
            m_hasSequence = true;
        } else if (m_field == eraField) {
            m_report.knowledge.era = value;
        } else if (m_field == revisionField) {
            m_report.knowledge.revision = value;
        } else if (m_field == uptimeField) {
            m_report.uptime = std::chrono::milliseconds(std::min(value, maxMilliseconds));
            m_hasUptime = true;
        } else if (m_field == provenField) {
            m_report.knowledge.provenAtMs = static_cast<std::int64_t>(value);
            return value < maxMilliseconds;
        } else if (m_field == engineVersionField) {
            m_report.knowledge.engineVersion = value;
        } else if (m_field == gatewayVersionField) {
            m_report.knowledge.gatewayVersion = value;
        } else if (m_field == provenVersionField) {
            m_report.knowledge.provenVersion = value;
        }
        return !m_isNumberList;
    }

    bool entry(std::uint64_t value)
    {
        if (m_isArray) {
            m_lists[m_field].push_back(value);
            return m_field != leavingField;
        }
        if (m_field == requestsField) {
            m_report.requests[EngineName(m_entry)] = static_cast<std::uint32_t>(value);
            return value <= std::numeric_limits<std::uint32_t>::max();
        }
        if (m_field == demandField) {
            m_report.demand[CustomerName(m_entry)] = static_cast<double>(value);
            return true;
        }
        if (m_isNamedNumbers) {
            m_named[m_field][m_entry] = value;
            return true;
        }
        return spent(static_cast<double>(value));
    }

    bool negativeNumber(std::int64_t value)
    {
        return m_isUnknownField || (m_depth == 2 && !m_isArray && spent(static_cast<double>(value))); // after refunds
    }

    bool spent(double units)
    {
        m_report.spent[CustomerName(m_entry)] = units;
        return m_field == spentField;
    }

    LoadReport m_report;
    std::string m_field;
    std::string m_entry;
    std::map<std::string, std::vector<std::uint64_t>> m_lists; // by field
    std::map<std::string, NamedNumbers> m_named; // by field
    unsigned m_depth = 0;
    bool m_isArray = false;
    bool m_isNumberList = false;
    bool m_isNamedNumbers = false;
    bool m_isUnknownField = false; // of a later version
    bool m_hasHost = false;
    bool m_hasIncarnation = false;
    bool m_hasSequence = false;
    bool m_hasRequests = false;
    bool m_hasDemand = false;
    bool m_hasSpent = false;
    bool m_hasUptime = false;
};

} // namespace

std::vector<std::uint8_t> encodeReport(const LoadReport &report)
{
    Json requests = Json::object();
    for (const auto &[engine, n] : report.requests) {
        requests[engine.text()] = n;
    }
    Json json {{hostField, report.host.text()},
               {incarnationField, report.incarnation},
               {sequenceField, report.sequenceNumber},
               {requestsField, std::move(requests)}};
    if (report.isLoadOnly) {
        return Json::to_msgpack(json);
    }
    Json demand = Json::object();
    for (const auto &[customer, units] : report.demand) {
        demand[customer.text()] = static_cast<std::uint64_t>(units);
    }
    Json spent = Json::object();
    for (const auto &[customer, units] : report.spent) {
        spent[customer.text()] = static_cast<std::int64_t>(units);
    }
    json[demandField] = std::move(demand);
    json[spentField] = std::move(spent);
    const auto &knowledge = report.knowledge;
    json[eraField] = knowledge.era;
    json[revisionField] = knowledge.revision;
    json[provenField] = knowledge.provenAtMs;
    json[engineVersionField] = knowledge.engineVersion;
    json[gatewayVersionField] = knowledge.gatewayVersion;
    json[provenVersionField] = knowledge.provenVersion;
    json[uptimeField] = std::chrono::duration_cast<std::chrono::milliseconds>(report.uptime).count();
    for (const auto &it : report.leavingEngines) {
        json[leavingField].push_back(it.text());
    }
    for (const auto &it : numberListEntries()) {
        if (auto numbers = it.numbersOf(report); !numbers.empty()) {
            json[it.field] = std::move(numbers);
        }
    }
    for (const auto &it : namedNumbersEntries()) {
        if (auto numbers = it.numbersOf(report); !numbers.empty()) {
            json[it.field] = std::move(numbers);
        }
    }
    if (report.shouldForward) {
        json[forwardField] = true;
    }
    if (report.asksForReport) {
        json[askField] = true;
    }
    return Json::to_msgpack(json);
}

Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size)
{
    ReportReader reader;
    if (!Json::sax_parse(bytes, bytes + size, &reader, Json::input_format_t::msgpack)) {
        return Error {ErrorCode::Invalid, "the datagram is not a load report"};
    }
    if (auto report = std::move(reader).result()) {
        return *report;
    }
    return Error {ErrorCode::Invalid, "a field of the load report is missing or incomplete"};
}

} // namespace monsoonward
