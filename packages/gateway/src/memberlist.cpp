#include "memberlist.h"

#include <monsoonward/ini/ini.h>

#include <nlohmann/json.hpp>

namespace monsoonward
{

using Json = nlohmann::json;

namespace
{

constexpr Duration deadAfter = std::chrono::seconds(20); // longer than a machine's restart and most partitions

} // namespace

std::string encodeMember(const MemberRecord &member)
{
    const auto &address = member.peerAddress;
    return Json {{"peer-address", address.ip + ":" + std::to_string(address.port)},
                 {"life", member.life},
                 {"data-centre", member.dataCentre.text()}}
        .dump();
}

Result<MemberRecord> decodeMember(const std::string &key, const std::string &text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("peer-address") || !json["peer-address"].is_string()
        || !json.contains("life") || !json["life"].is_number_unsigned()) {
        return Error {ErrorCode::Invalid, "member " + key + ": no object with peer-address and life"};
    }
    BOOST_OUTCOME_TRY(address, parseAddress(json["peer-address"].get<std::string>()));
    const auto dataCentre = json.find("data-centre");
    const bool hasDataCentre = dataCentre != json.end() && dataCentre->is_string();
    return MemberRecord {HostName(key),
                         address,
                         json["life"].get<std::uint64_t>(),
                         DataCentreName(hasDataCentre ? dataCentre->get<std::string>() : std::string())};
}

MemberList::MemberList(GatewayCore &core, std::uint64_t life, Changed changed)
    : m_core(core)
    , m_own {core.settings.host, core.settings.peerListen, life, core.settings.places.ownDataCentre}
    , m_changed(std::move(changed))
    , m_store(core.adapter.makeRowStore(core.io, core.settings.store))
{
}

void MemberList::rowsListed(const std::vector<TableRow> &rows)
{
    m_listed = true;
    m_members.clear();
    for (const auto &it : rows) {
        put(it);
    }
    tell();
    tick();
}

void MemberList::rowsChanged(const std::vector<TableRow> &rows)
{
    for (const auto &it : rows) {
        put(it);
    }
    tell();
    tick();
}

void MemberList::put(const TableRow &row)
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

void MemberList::tell()
{
    std::vector<MemberRecord> members;
    for (const auto &it : m_members) {
        members.push_back(it.second.record);
    }
    m_changed(members);
}

void MemberList::tick()
{
    if (!m_listed || m_writing || m_leaving) {
        return;
    }
    const auto own = m_members.find(m_own.host);
    if (own == m_members.end() || own->second.record != m_own) {
        writeOwn();
    } else {
        removeSilent();
    }
}

void MemberList::writeOwn()
{
    m_writing = true;
    const TableRow row {m_own.host.text(), encodeMember(m_own), 0};
    m_store->write(m_core.adapter.storeLayout().memberTable, row, std::nullopt, [this](const Result<void> &result) {
        m_writing = false;
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

void MemberList::removeSilent()
{
    const auto now = m_core.clock.now();
    const auto silent = m_core.fleet.silentFor(deadAfter, now);
    for (const auto &it : m_members) {
        if (it.first != m_own.host && m_core.fleet.isReporting(it.first, now) && it.first < m_own.host) {
            return; // that gateway does it
        }
    }
    for (const auto &it : silent) {
        const auto member = m_members.find(it);
        if (member == m_members.end()) {
            continue;
        }
        m_writing = true;
        m_core.log.write(
            Event::GatewaySilent, Severity::Warning, "gateway-removed", {{"peer", std::string_view(it.text())}});
        m_store->write(m_core.adapter.storeLayout().memberTable,
                       {it.text(), std::nullopt, 0},
                       member->second.version,
                       [this](const Result<void> & /*the feed tells what holds; a failure is tried again*/) {
                           m_writing = false;
                       });
        return;
    }
}

void MemberList::leave()
{
    m_leaving = true;
    if (m_writing) {
        return; // the row of a stopped gateway is removed by the others
    }
    m_writing = true;
    m_store->write(m_core.adapter.storeLayout().memberTable,
                   {m_own.host.text(), std::nullopt, 0},
                   std::nullopt,
                   [this](const Result<void> & /*the others remove the row after a while*/) { m_writing = false; });
}

} // namespace monsoonward
