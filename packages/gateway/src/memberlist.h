#pragma once

#include "gatewaycore.h"

namespace monsoonward
{

/// @brief A gateway's registration, its row in the store.
struct MemberRecord
{
    HostName host;
    Address peerAddress; ///< receives load reports
    std::uint64_t incarnation = 0; ///< identifies one run of the process
    DataCentreName dataCentre; ///< empty if written by a version that did not store it
    std::uint32_t centreReportFormat = 0; ///< newest format of centre reports that it understands; 0 if none
    MONSOONWARD_FIELDS(host, peerAddress, incarnation, dataCentre, centreReportFormat)
};

std::string encodeMember(const MemberRecord &member);
/// Errors: Invalid.
Result<MemberRecord> decodeMember(const std::string &key, const std::string &text);

/// @brief Keeps this gateway registered in the store while it runs, and removes the registrations of gateways that have
/// been silent for long.
class MemberList
{
public:
    using ChangedCallback = std::function<void(const std::vector<MemberRecord> &)>;

    /// @param incarnation identifies this run of the process
    /// @param changed called with all registered gateways after every change
    MemberList(GatewayCore &core, std::uint64_t incarnation, ChangedCallback changed);
    MemberList(const MemberList &) = delete;
    MemberList &operator=(const MemberList &) = delete;

    /// Replaces all known registrations by @p rows.
    void rowsListed(const std::vector<TableRow> &rows);
    void rowsChanged(const std::vector<TableRow> &rows);
    /// Registers this gateway if its row is missing or differs, otherwise removes a dead gateway. To be called
    /// regularly.
    void tick();
    /// Removes this gateway's row and stops writing.
    void deregister();

private:
    struct StoredMember
    {
        MemberRecord record;
        std::uint64_t version = 0;
    };

    void applyRow(const TableRow &row);
    void notifyChanged();
    void registerSelf();
    void removeDeadMember();

    GatewayCore &m_core;
    MemberRecord m_own;
    ChangedCallback m_changed;
    std::unique_ptr<RowStore> m_store;
    std::map<HostName, StoredMember> m_members;
    bool m_isListed = false;
    bool m_isWriting = false;
    bool m_isDeregistering = false;
};

} // namespace monsoonward
