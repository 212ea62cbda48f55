#include "centrecodec.h"

#include "reportentries.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace monsoonward
{

using Json = nlohmann::json;

namespace
{

// Layout: marker, format, flags, then a MessagePack array of lists. The lists of a later version that follow these are
// skipped.
constexpr std::uint8_t marker = 0xc7; // begins no MessagePack map, so no load report, and no message about a stream
constexpr std::uint8_t format = 1;
constexpr std::uint8_t forwardFlag = 1;
constexpr std::size_t prefixBytes = 3;
enum List : std::size_t { Texts, Header, Rows, Requests, Leaving, Demand, Limits, Crashes, Sound, ListCount };

constexpr std::uint64_t maxMembers = 4096;
constexpr std::uint64_t maxRequests = std::uint64_t {1} << 20U; // at one engine
constexpr std::uint64_t maxUnits = std::uint64_t {1} << 53U; // larger ones aren't exact as doubles
constexpr auto maxUptime = std::chrono::milliseconds(65'535); // only that of gateways that have just started matters
constexpr double demandUnitsPerRequest = 1000;

std::uint64_t zigzag(std::int64_t n)
{
    return n < 0 ? ((static_cast<std::uint64_t>(-(n + 1)) << 1U) | 1U) : static_cast<std::uint64_t>(n) << 1U;
}

std::int64_t unzigzag(std::uint64_t n)
{
    const auto half = static_cast<std::int64_t>(n >> 1U);
    return (n & 1U) != 0 ? -half - 1 : half;
}

/// Names that rows refer to by index.
class NameTable
{
public:
    NameTable(const HostName &collector, const DataCentreName &dataCentre)
        : m_names {collector.text(), dataCentre.text()}
    {
    }
    std::uint64_t indexOf(const std::string &name)
    {
        const auto it = m_indices.emplace(name, m_names.size());
        if (it.second) {
            m_names.push_back(name);
        }
        return it.first->second;
    }
    const std::vector<std::string> &names() const
    {
        return m_names;
    }

private:
    std::vector<std::string> m_names;
    std::map<std::string, std::uint64_t> m_indices;
};

void appendRow(NumberList &numbers, const MemberRow &row, std::uint64_t firstIncarnation, NameTable &names)
{
    const auto uptime = std::min<Duration>(row.uptime, maxUptime);
    numbers.insert(numbers.end(),
                   {row.host,
                    row.incarnation - firstIncarnation,
                    row.sequenceNumber,
                    millisecondsOf(row.age),
                    millisecondsOf(uptime),
                    row.spent.size()});
    for (const auto &[customer, units] : row.spent) {
        numbers.insert(numbers.end(),
                       {names.indexOf(customer.text()), zigzag(units.total), zigzag(units.total - units.before)});
    }
    numbers.push_back(row.serviceDemand.size());
    for (const auto &[service, perSecond] : row.serviceDemand) {
        numbers.push_back(names.indexOf(service.text()));
        numbers.push_back(static_cast<std::uint64_t>(perSecond * demandUnitsPerRequest));
    }
}

NumberList engineNumbers(const std::map<EngineKey, std::uint32_t> &sums)
{
    NumberList numbers;
    for (const auto &[engine, n] : sums) {
        numbers.insert(numbers.end(), {engine, n});
    }
    return numbers;
}

/// Collects lists of numbers or texts. Anything else ends the parsing, before nested data can exhaust the stack.
class ListReader : public Json::json_sax_t
{
public:
    std::vector<NumberList> numbers;
    std::vector<std::string> texts;

    bool null() override
    {
        return false;
    }
    bool boolean(bool /*value*/) override
    {
        return false;
    }
    bool number_integer(Json::number_integer_t value) override
    {
        return value >= 0 && number_unsigned(static_cast<std::uint64_t>(value));
    }
    bool number_unsigned(Json::number_unsigned_t value) override
    {
        if (m_depth != 2) {
            return false;
        }
        numbers.back().push_back(value);
        return true;
    }
    bool number_float(Json::number_float_t /*value*/, const std::string & /*text*/) override
    {
        return false;
    }
    bool string(std::string &value) override
    {
        texts.push_back(value);
        return m_depth == 2 && numbers.size() == Texts + 1;
    }
    bool binary(Json::binary_t & /*value*/) override
    {
        return false;
    }
    bool start_object(std::size_t /*size*/) override
    {
        return false;
    }
    bool key(std::string & /*value*/) override
    {
        return false;
    }
    bool end_object() override
    {
        return false;
    }
    bool start_array(std::size_t /*size*/) override
    {
        if (++m_depth == 2) {
            numbers.emplace_back();
        }
        return m_depth <= 2;
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*at*/, const std::string & /*token*/, const Json::exception & /*error*/) override
    {
        return false;
    }

private:
    unsigned m_depth = 0;
};

/// Takes numbers from a list one after the other, and notes if one is missing or too large.
class NumberSource
{
public:
    explicit NumberSource(const NumberList &numbers)
        : m_numbers(numbers)
    {
    }
    std::uint64_t take(std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
    {
        if (m_next >= m_numbers.size() || m_numbers[m_next] > max) {
            m_isValid = false;
            return 0;
        }
        return m_numbers[m_next++];
    }
    bool isAtEnd() const
    {
        return m_next >= m_numbers.size();
    }
    bool isValid() const
    {
        return m_isValid;
    }

private:
    const NumberList &m_numbers;
    std::size_t m_next = 0;
    bool m_isValid = true;
};

std::chrono::milliseconds takeTime(NumberSource &source)
{
    constexpr std::uint64_t maxMilliseconds = 3'600'000;
    return std::chrono::milliseconds(source.take(maxMilliseconds));
}

/// @param names those of the report, after the collector's and the data centre's
bool readRows(const NumberList &numbers,
              std::uint64_t firstIncarnation,
              const std::vector<std::string> &names,
              std::vector<MemberRow> &rows)
{
    NumberSource source(numbers);
    const auto takeName = [&]() -> const std::string & { return names[source.take(names.size() - 1)]; };
    while (!source.isAtEnd() && source.isValid() && rows.size() < maxMembers) {
        MemberRow row;
        row.host = source.take();
        row.incarnation = firstIncarnation + source.take(maxUnits);
        row.sequenceNumber = source.take();
        row.age = takeTime(source);
        row.uptime = takeTime(source);
        for (auto n = source.take(); n > 0 && source.isValid(); --n) {
            const CustomerName customer(takeName());
            const auto total = unzigzag(source.take(maxUnits * 2));
            row.spent[customer] = {total, total - unzigzag(source.take(maxUnits * 2))};
        }
        for (auto n = source.take(); n > 0 && source.isValid(); --n) {
            const ServiceName service(takeName());
            row.serviceDemand[service] =
                static_cast<double>(source.take(std::numeric_limits<std::uint32_t>::max())) / demandUnitsPerRequest;
        }
        rows.push_back(std::move(row));
    }
    return source.isValid() && source.isAtEnd();
}

bool readEngines(const NumberList &numbers, std::map<EngineKey, std::uint32_t> &sums)
{
    constexpr std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
    NumberSource source(numbers);
    while (!source.isAtEnd() && source.isValid()) {
        const auto engine = static_cast<EngineKey>(source.take(max));
        sums[engine] = static_cast<std::uint32_t>(source.take(maxRequests));
    }
    return source.isValid();
}

bool readDemand(const NumberList &numbers,
                const std::vector<std::string> &names,
                std::map<CustomerName, double> &demand)
{
    NumberSource source(numbers);
    while (!source.isAtEnd() && source.isValid()) {
        const CustomerName customer(names[source.take(names.size() - 1)]);
        demand[customer] = static_cast<double>(source.take(maxUnits));
    }
    return source.isValid();
}

/// @param lists of the message, ListCount or more
std::optional<CentreReport> reportOf(const std::vector<NumberList> &lists, const std::vector<std::string> &texts)
{
    CentreReport report;
    NumberSource header(lists[Header]);
    report.collector = HostName(texts[0]);
    report.dataCentre = DataCentreName(texts[1]);
    report.incarnation = header.take(maxUnits);
    report.sequenceNumber = header.take();
    const auto firstIncarnation = header.take(maxUnits);
    report.knowledge.era = header.take();
    report.knowledge.revision = header.take();
    report.knowledge.provenAtMs = static_cast<std::int64_t>(header.take(maxUnits));
    report.knowledge.engineVersion = header.take();
    report.knowledge.gatewayVersion = header.take();
    LoadReport carrier;
    if (!header.isValid() || texts[0].empty() || texts[1].empty()
        || !readRows(lists[Rows], firstIncarnation, texts, report.members)
        || !readEngines(lists[Requests], report.sums.requests) || !readEngines(lists[Leaving], report.sums.leaving)
        || !readDemand(lists[Demand], texts, report.sums.demand) || !limitsEntry().read(lists[Limits], carrier)
        || !crashesEntry().read(lists[Crashes], carrier) || !soundEntry().read(lists[Sound], carrier)) {
        return std::nullopt;
    }
    report.limits = std::move(carrier.limits);
    report.crashes = std::move(carrier.crashes);
    return report;
}

} // namespace

bool isCentreMessage(const std::uint8_t *bytes, std::size_t size)
{
    return size > 0 && bytes[0] == marker;
}

std::vector<std::uint8_t> encodeCentreMessage(const CentreMessage &message)
{
    const auto &report = message.report;
    NameTable names(report.collector, report.dataCentre);
    std::uint64_t firstIncarnation = report.members.empty() ? 0 : std::numeric_limits<std::uint64_t>::max();
    for (const auto &it : report.members) {
        firstIncarnation = std::min(firstIncarnation, it.incarnation);
    }
    NumberList rows;
    NumberList demand;
    for (const auto &it : report.members) {
        appendRow(rows, it, firstIncarnation, names);
    }
    for (const auto &[customer, units] : report.sums.demand) {
        demand.push_back(names.indexOf(customer.text()));
        demand.push_back(static_cast<std::uint64_t>(units));
    }
    LoadReport carrier;
    carrier.limits = report.limits;
    carrier.crashes = report.crashes;
    const auto &knowledge = report.knowledge;
    const Json json {names.names(),
                     NumberList {report.incarnation,
                                 report.sequenceNumber,
                                 firstIncarnation,
                                 knowledge.era,
                                 knowledge.revision,
                                 static_cast<std::uint64_t>(knowledge.provenAtMs),
                                 knowledge.engineVersion,
                                 knowledge.gatewayVersion},
                     rows,
                     engineNumbers(report.sums.requests),
                     engineNumbers(report.sums.leaving),
                     demand,
                     limitsEntry().numbersOf(carrier),
                     crashesEntry().numbersOf(carrier),
                     soundEntry().numbersOf(carrier)};
    std::vector<std::uint8_t> bytes {marker, format, message.shouldForward ? forwardFlag : std::uint8_t {0}};
    Json::to_msgpack(json, bytes);
    return bytes;
}

Result<CentreMessage> decodeCentreMessage(const std::uint8_t *bytes, std::size_t size)
{
    if (size < prefixBytes || !isCentreMessage(bytes, size) || bytes[1] != format) {
        return Error {ErrorCode::Invalid, "the datagram is not a centre report of a known format"};
    }
    ListReader reader;
    if (!Json::sax_parse(bytes + prefixBytes, bytes + size, &reader, Json::input_format_t::msgpack)) {
        return Error {ErrorCode::Invalid, "the datagram is not a centre report"};
    }
    if (reader.numbers.size() < ListCount || reader.texts.size() < 2) {
        return Error {ErrorCode::Invalid, "a list of the centre report is missing"};
    }
    auto report = reportOf(reader.numbers, reader.texts);
    if (!report) {
        return Error {ErrorCode::Invalid, "a number of the centre report is missing or out of range"};
    }
    return CentreMessage {std::move(*report), (bytes[2] & forwardFlag) != 0};
}

} // namespace monsoonward
