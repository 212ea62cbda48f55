#include "memberlist.h"

#include "centrereports.h"

#include <monsoonward/ini/ini.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace monsoonward
{

using Json = nlohmann::json;

namespace
{

constexpr Duration removeAfter =
    std::chrono::seconds(20); // longer than the restart of a host and most network partitions

} // namespace

std::string encodeMember(const MemberRecord &member)
{
    const auto &address = member.peerAddress;
    Json json {{"peer-address", address.ip + ":" + std::to_string(address.port)},
               {"life", member.incarnation},
               {"data-centre", member.dataCentre.text()}};
    if (member.centreReportFormat > 0) {
        json["centre-reports"] = member.centreReportFormat;
    }
    return json.dump();
}

Result<MemberRecord> decodeMember(const std::string &key, const std::string &text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("peer-address") || !json["peer-address"].is_string()
        || !json.contains("life") || !json["life"].is_number_unsigned()) {
        return Error {ErrorCode::Invalid, "member " + key + ": not a JSON object with peer-address and life"};
    }
    BOOST_OUTCOME_TRY(address, parseAddress(json["peer-address"].get<std::string>()));
    const auto dataCentre = json.find("data-centre");
    const bool hasDataCentre = dataCentre != json.end() && dataCentre->is_string();
    const auto format = json.find("centre-reports");
    const bool hasFormat = format != json.end() && format->is_number_unsigned()
        && format->get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    return MemberRecord {HostName(key),
                         address,
                         json["life"].get<std::uint64_t>(),
                         DataCentreName(hasDataCentre ? dataCentre->get<std::string>() : std::string()),
                         hasFormat ? format->get<std::uint32_t>() : 0};
}

MemberList::MemberList(GatewayCore &core, std::uint64_t incarnation, ChangedCallback changed)
    : m_core(core)
    , m_own {core.settings.host,
             core.settings.peerListen,
             incarnation,
             core.settings.topology.ownDataCentre,
             core.settings.reportSums == SumsMode::Never ? 0 : centreReportFormat}
    , m_changed(std::move(changed))
    , m_store(core.adapter.makeRowStore(core.io, core.settings.store))
{
}

void MemberList::rowsListed(const std::vector<TableRow> &rows)
{
    m_isListed = true;
    m_members.clear();
    for (const auto &it : rows) {
        applyRow(it);
    }
    notifyChanged();
    tick();
}

void MemberList::rowsChanged(const std::vector<TableRow> &rows)
{
    for (const auto &it : rows) {
        applyRow(it);
    }
    notifyChanged();
    tick();
}

void MemberList::applyRow(const TableRow &row)
{
    if (!row.value) {
        m_members.erase(HostName(row.key));
        return;
    }
    const auto member = decodeMember(row.key, *row.value);
    if (member) {
        m_members[member.value().host] = {member.value(), row.version};
    } else {
        m_core.log.write(Event::GatewaysChanged,
                         Severity::Warning,
                         "gateway-row-rejected",
                         {{"reason", std::string_view(member.error().message)}});
    }
}

void MemberList::notifyChanged()
{
    std::vector<MemberRecord> members;
    for (const auto &it : m_members) {
        members.push_back(it.second.record);
    }
    m_changed(members);
}

void MemberList::tick()
{
    if (!m_isListed || m_isWriting || m_isDeregistering) {
        return;
    }
    const auto own = m_members.find(m_own.host);
    if (own == m_members.end() || own->second.record != m_own) {
        registerSelf();
    } else {
        removeDeadMember();
    }
}

void MemberList::registerSelf()
{
    m_isWriting = true;
    const TableRow row {m_own.host.text(), encodeMember(m_own), 0};
    m_store->write(m_core.adapter.storeLayout().gatewayTable, row, std::nullopt, [this](const Result<void> &result) {
        m_isWriting = false;
        if (result) {
            m_members[m_own.host] = {m_own, 0};
        } else {
            m_core.log.write(Event::GatewayRegistrationFailed,
                             Severity::Warning,
                             "registration-failed",
                             {{"reason", std::string_view(result.error().message)}});
        }
    });
}

void MemberList::removeDeadMember()
{
    const auto now = m_core.clock.now();
    const auto silent = m_core.fleet.silentFor(removeAfter, now);
    for (const auto &it : m_members) {
        if (it.first != m_own.host && m_core.fleet.isReporting(it.first, now) && it.first < m_own.host) {
            return; // only the live gateway whose name sorts first removes rows
        }
    }
    for (const auto &it : silent) {
        const auto member = m_members.find(it);
        if (member == m_members.end()) {
            continue;
        }
        m_isWriting = true;
        m_core.log.write(
            Event::GatewaySilent, Severity::Warning, "gateway-removed", {{"peer", std::string_view(it.text())}});
        m_store->write(m_core.adapter.storeLayout().gatewayTable,
                       {it.text(), std::nullopt, 0},
                       member->second.version,
                       [this](const Result<void> & /*the table feed reports the outcome; a failed write is retried*/) {
                           m_isWriting = false;
                       });
        return;
    }
}

void MemberList::deregister()
{
    m_isDeregistering = true;
    if (m_isWriting) {
        return; // other gateways remove the row later
    }
    m_isWriting = true;
    m_store->write(
        m_core.adapter.storeLayout().gatewayTable,
        {m_own.host.text(), std::nullopt, 0},
        std::nullopt,
        [this](const Result<void> & /*if this fails, other gateways remove the row later*/) { m_isWriting = false; });
}

} // namespace monsoonward
