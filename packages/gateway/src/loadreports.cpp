#include "loadreports.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

using boost::asio::ip::udp;
using boost::system::error_code;
using Json = nlohmann::json;

namespace
{

constexpr Duration leastInterval = std::chrono::milliseconds(50); // a few requests arrive meanwhile at most
constexpr Duration longestInterval = std::chrono::milliseconds(400); // three reports within FleetView::silenceBound
constexpr int peersAtLeastInterval = 5; // with more, the interval grows with them: a constant rate of reports

} // namespace

std::vector<std::uint8_t> encodeReport(const LoadReport &report)
{
    Json requests = Json::object();
    for (const auto &[engine, n] : report.requests) {
        requests[engine.text()] = n;
    }
    Json demand = Json::object();
    for (const auto &[customer, units] : report.demand) {
        demand[customer.text()] = static_cast<std::uint64_t>(units);
    }
    Json spent = Json::object();
    for (const auto &[customer, units] : report.spent) {
        spent[customer.text()] = static_cast<std::int64_t>(units);
    }
    return Json::to_msgpack({{"h", report.host.text()},
                             {"l", report.life},
                             {"n", report.number},
                             {"r", std::move(requests)},
                             {"d", std::move(demand)},
                             {"s", std::move(spent)}});
}

Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size)
{
    try {
        const auto json = Json::from_msgpack(bytes, bytes + size);
        LoadReport report;
        report.host = HostName(json.at("h").get<std::string>());
        report.life = json.at("l").get<std::uint64_t>();
        report.number = json.at("n").get<std::uint64_t>();
        for (const auto &[engine, n] : json.at("r").items()) {
            report.requests[EngineName(engine)] = n.get<std::uint32_t>();
        }
        for (const auto &[customer, units] : json.at("d").items()) {
            report.demand[CustomerName(customer)] = static_cast<double>(units.get<std::uint64_t>());
        }
        for (const auto &[customer, units] : json.at("s").items()) {
            report.spent[CustomerName(customer)] = static_cast<double>(units.get<std::int64_t>());
        }
        return report;
    } catch (const Json::exception &error) {
        return Error {ErrorCode::Invalid, error.what()};
    }
}

LoadReports::LoadReports(GatewayCore &core, std::uint64_t life)
    : m_core(core)
    , m_life(life)
    , m_socket(core.io)
    , m_timer(core.io)
{
}

Result<void> LoadReports::start()
{
    const auto &address = m_core.settings.peerListen;
    error_code ec;
    const udp::endpoint endpoint(boost::asio::ip::make_address(address.ip, ec), address.port);
    if (!ec) {
        m_socket.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        m_socket.bind(endpoint, ec);
    }
    if (ec) {
        return Error {ErrorCode::Unavailable, "bind " + address.ip + ": " + ec.message()};
    }
    m_socket.non_blocking(true, ec);
    receive();
    tick();
    return boost::outcome_v2::success();
}

void LoadReports::setPeers(const std::vector<Address> &peers)
{
    m_peers.clear();
    for (const auto &it : peers) {
        error_code ec;
        const auto ip = boost::asio::ip::make_address(it.ip, ec);
        if (!ec) {
            m_peers.emplace_back(ip, it.port);
        }
    }
}

void LoadReports::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_bytes), m_sender, [this](const error_code &ec, std::size_t size) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            received(size);
        }
        receive();
    });
}

void LoadReports::received(std::size_t size)
{
    const auto report = decodeReport(m_bytes.data(), size);
    if (!report) {
        m_core.log.write(Event::GatewayReportRejected,
                         Severity::Warning,
                         "report-rejected",
                         {{"reason", std::string_view(report.error().message)}});
        return;
    }
    const auto now = m_core.clock.now();
    const auto heard = m_core.fleet.heard(report.value(), now);
    if (!heard) {
        return;
    }
    for (const auto &[customer, units] : heard->spent) {
        m_core.allotments.spentElsewhere(customer, units);
    }
    if (heard->wasSilent) {
        m_core.log.write(Event::GatewayHeard,
                         Severity::Info,
                         "gateway-heard",
                         {{"peer", std::string_view(report.value().host.text())}});
    }
}

void LoadReports::tick()
{
    send();
    const auto peers = std::max(static_cast<int>(m_peers.size()), peersAtLeastInterval);
    m_timer.expires_after(std::min<Duration>(leastInterval * peers / peersAtLeastInterval, longestInterval));
    m_timer.async_wait([this](const error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void LoadReports::send()
{
    m_core.fleet.expire(m_core.clock.now());
    if (m_peers.empty()) {
        return;
    }
    LoadReport report;
    report.host = m_core.settings.host;
    report.life = m_life;
    report.number = ++m_number;
    report.requests = m_core.placer->ownRequests();
    m_core.placer->reported();
    report.demand = m_core.allotments.demands(m_core.clock.now());
    report.spent = m_core.allotments.spent();
    const auto bytes = encodeReport(report);
    for (const auto &it : m_peers) {
        error_code ignored; // a report that is lost is replaced by the next one
        m_socket.send_to(boost::asio::buffer(bytes), it, 0, ignored);
    }
}

} // namespace monsoonward
