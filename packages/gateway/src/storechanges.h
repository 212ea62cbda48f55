#pragma once

#include "gatewaycore.h"
#include "storewatch.h"

namespace monsoonward
{

/// @brief Applies the configurations and registrations of engines that are read from the store, and logs what changes.
class StoreChanges
{
public:
    /// @param core, store must outlive this object
    /// @param hashSeed of the lookup tables that are built from configurations
    /// @param engineSeen called with each registration before it is applied
    StoreChanges(GatewayCore &core,
                 StoreWatch &store,
                 std::uint64_t hashSeed,
                 std::function<void(const EngineRecord &)> engineSeen);

    /// Applies the newest configuration among rows of its table, unless the active one is as new.
    void configurationRows(const std::vector<TableRow> &rows);
    /// Replaces all engines.
    void enginesListed(const std::vector<TableRow> &rows, ListCause cause);
    /// @return whether all engines have been read once
    bool haveEnginesBeenListed() const;
    void enginesChanged(const std::vector<TableRow> &rows);
    /// To be called when the registrations can't be read any more: what began at engines that may have started again
    /// since becomes doubtful.
    /// @return number of these streams
    std::size_t doubtStreams();
    /// To be called when a registration is gone: forgets what is known about the engine unless it is kept.
    /// @param reason for the log record
    void engineRemoved(const EngineName &name, std::string_view reason);

private:
    /// @brief What it takes to decode a configuration, for the log.
    struct DecodingCost
    {
        std::size_t bytes = 0;
        TimePoint startedAt;
    };

    void applyConfiguration(ServingConfiguration decoded, const DecodingCost &cost);
    std::optional<EngineRecord> decodeEngineRow(const TableRow &row);
    void engineChanged(const TableRow &row);
    void noteVersion(const EngineRecord &engine);

    GatewayCore &m_core;
    StoreWatch &m_store;
    std::uint64_t m_hashSeed;
    std::function<void(const EngineRecord &)> m_engineSeen;
    bool m_haveEnginesBeenListed = false;
};

} // namespace monsoonward
