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
constexpr Duration longestInterval = std::chrono::milliseconds(400); // three reports within FleetView::silenceTimeout
constexpr int peersAtLongestInterval = 100; // with still more, the interval and the bound of silence grow with them
constexpr std::size_t mostFarPeers = 16; // with more, one of them in turn passes reports on: the link is shared by all
constexpr int peersAtLeastInterval = 5; // with more, the interval grows with them: a constant rate of whole reports
constexpr int nearPeersAtLeastInterval = 10; // the same for short reports, which are a quarter as long

/// @return time between two reports to so many gateways
Duration intervalFor(std::size_t peers, int atLeastInterval)
{
    const auto n = std::max(static_cast<int>(peers), atLeastInterval);
    const Duration longest = longestInterval * std::max(n, peersAtLongestInterval) / peersAtLongestInterval;
    return std::min<Duration>(leastInterval * n / atLeastInterval, longest);
}

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
    Json json {
        {"h", report.host.text()}, {"l", report.incarnation}, {"n", report.sequenceNumber}, {"r", std::move(requests)}};
    if (!report.isLoadOnly) {
        json["d"] = std::move(demand);
        json["s"] = std::move(spent);
    }
    if (report.shouldForward) {
        json["f"] = true;
    }
    return Json::to_msgpack(json);
}

Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size)
{
    try {
        const auto json = Json::from_msgpack(bytes, bytes + size);
        LoadReport report;
        report.host = HostName(json.at("h").get<std::string>());
        report.incarnation = json.at("l").get<std::uint64_t>();
        report.sequenceNumber = json.at("n").get<std::uint64_t>();
        for (const auto &[engine, n] : json.at("r").items()) {
            report.requests[EngineName(engine)] = n.get<std::uint32_t>();
        }
        report.isLoadOnly = !json.contains("d");
        report.shouldForward = json.contains("f");
        if (report.isLoadOnly) {
            return report;
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

void LoadReports::setPeers(const std::vector<ReportPeer> &peers)
{
    m_near.clear();
    m_far.clear();
    for (const auto &it : peers) {
        error_code ec;
        const auto ip = boost::asio::ip::make_address(it.address.ip, ec);
        if (!ec) {
            (it.isNear ? m_near : m_far).emplace_back(ip, it.address.port);
        }
    }
    // Keeps the proportion of the bound to the interval that holds in fleets with the longest common interval.
    const auto interval = intervalFor(peers.size(), peersAtLeastInterval);
    m_core.fleet.setSilenceTimeout(
        std::max<Duration>(FleetView::silenceTimeout, interval * (FleetView::silenceTimeout / longestInterval + 1)));
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
    if (report.value().shouldForward) {
        auto passedOn = report.value();
        passedOn.shouldForward = false;
        sendTo(m_near, passedOn);
    }
    const auto now = m_core.clock.now();
    const auto heard = m_core.fleet.addReport(report.value(), now);
    if (!heard) {
        return;
    }
    for (const auto &[customer, units] : heard->spent) {
        m_core.allotments.recordRemoteSpending(customer, units);
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
    const auto now = m_core.clock.now();
    const auto whole = intervalFor(m_near.size() + m_far.size(), peersAtLeastInterval);
    const auto shorter = std::min(whole, intervalFor(m_near.size(), nearPeersAtLeastInterval));
    const bool isWholeDue = now - m_wholeAt + shorter / 2 >= whole;
    m_core.fleet.expire(now);
    send(!isWholeDue);
    m_timer.expires_after(shorter);
    m_timer.async_wait([this](const error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void LoadReports::send(bool isLoadOnly)
{
    if (m_near.empty() && m_far.empty()) {
        return;
    }
    const auto now = m_core.clock.now();
    LoadReport report;
    report.host = m_core.settings.host;
    report.incarnation = m_life;
    report.sequenceNumber = ++m_number;
    report.requests = m_core.placer->ownRequests();
    report.isLoadOnly = isLoadOnly;
    m_core.placer->loadReported(now);
    if (isLoadOnly) {
        sendTo(m_near, report);
        return;
    }
    m_wholeAt = now;
    report.demand = m_core.allotments.demands(now);
    report.spent = m_core.allotments.spent();
    sendTo(m_near, report);
    if (m_far.size() <= mostFarPeers) {
        sendTo(m_far, report);
        return;
    }
    report.shouldForward = true;
    sendTo({m_far[m_number % m_far.size()]}, report);
}

void LoadReports::sendTo(const std::vector<udp::endpoint> &peers, const LoadReport &report)
{
    const auto bytes = encodeReport(report);
    for (const auto &it : peers) {
        error_code ignored; // a report that is lost is replaced by the next one
        m_socket.send_to(boost::asio::buffer(bytes), it, 0, ignored);
    }
}

} // namespace monsoonward
