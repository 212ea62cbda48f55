#pragma once

#include "gatewaycore.h"

namespace monsoonward
{

/// @brief One gateway's row in the store.
struct MemberRecord
{
    HostName host;
    Address peerAddress; ///< for load reports
    std::uint64_t incarnation = 0;
    DataCentreName dataCentre; ///< empty in rows of versions that didn't tell it
    MONSOONWARD_FIELDS(host, peerAddress, incarnation, dataCentre)
};

std::string encodeMember(const MemberRecord &member);
/// Errors: Invalid.
Result<MemberRecord> decodeMember(const std::string &key, const std::string &text);

/// @brief Keeps this gateway's row in the store while it runs, and removes rows of gateways that are gone for good.
class MemberList
{
public:
    using ChangedCallback = std::function<void(const std::vector<MemberRecord> &)>;

    /// @param changed called with all members when they change
    MemberList(GatewayCore &core, std::uint64_t incarnation, ChangedCallback changed);
    MemberList(const MemberList &) = delete;
    MemberList &operator=(const MemberList &) = delete;

    void rowsListed(const std::vector<TableRow> &rows);
    void rowsChanged(const std::vector<TableRow> &rows);
    /// Looks after missing and dead rows; called about once a second.
    void tick();
    /// Removes the own row.
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
