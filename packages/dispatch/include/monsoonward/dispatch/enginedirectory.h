#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief An engine's registration.
struct EngineRecord
{
    EngineName name; ///< may be the same or a new one after the engine's restart
    ServiceName service;
    Address address;
    DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< requests that the engine processes concurrently
    bool isLeaving = false; ///< accepts no new requests
    MONSOONWARD_FIELDS(name, service, address, dataCentre, slots, isLeaving)
};

/// @brief The registered engines.
///
/// Registrations expire while the store is unavailable, although the engines are running; the engines register again
/// soon after the store has recovered. An engine whose registration is missing during that time is therefore kept, and
/// dropped only if it hasn't registered again within the timeout.
class EngineDirectory
{
public:
    /// Engines register again within this time after the store has recovered.
    static constexpr Duration reregistrationTimeout = std::chrono::seconds(2); // stated by the store's operators

    /// A call to the store succeeded.
    void storeAnswered(TimePoint now);
    /// A call to the store failed.
    void storeFailed();
    /// Applies a complete list of registrations.
    /// @return engines that were dropped
    std::vector<EngineName> replace(const std::vector<EngineRecord> &records, TimePoint now);
    /// Adds or replaces an engine.
    void put(const EngineRecord &record);
    /// Drops an engine whose registration is missing, or keeps it until the timeout if the store has just recovered or
    /// is unavailable.
    void remove(const EngineName &name, TimePoint now);
    /// Drops engines that didn't register again within the timeout.
    /// @return their names
    std::vector<EngineName> expire(TimePoint now);

    /// @return the record of an engine, or null; valid until the next change
    const EngineRecord *find(const EngineName &name) const;
    /// @return engines of the service that may get new requests; valid until the next change
    std::vector<const EngineRecord *> ofService(const ServiceName &service) const;
    std::size_t size() const;

private:
    struct Entry
    {
        EngineRecord record;
        std::optional<TimePoint> dropAt; // if the registration is missing: the engine is kept until then
    };

    bool mayReregister(TimePoint now) const;

    std::map<EngineName, Entry> m_engines;
    bool m_storeUnavailable = false;
    std::optional<TimePoint> m_storeRecoveredAt;
};

} // namespace monsoonward
