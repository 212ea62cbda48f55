#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief What an engine registered about itself.
struct EngineRecord
{
    EngineName name; ///< of one life of the engine, or of several
    ServiceName service;
    Address address;
    DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< requests that it works on at once
    bool isLeaving = false; ///< takes no new work
    MONSOONWARD_FIELDS(name, service, address, dataCentre, slots, isLeaving)
};

/// @brief The engines that may get requests, by what they registered.
///
/// Registrations lapse while the store is away, although the engines live; they are back soon after its return. So an
/// engine that is missing then is kept for a short time, and taken as gone after it.
class EngineDirectory
{
public:
    /// Registrations that lapsed with the store are back within this after its return.
    static constexpr Duration reregistrationTimeout = std::chrono::seconds(2); // said by the store's operators

    /// The store answered. @param now when the answer came
    void storeAnswered(TimePoint now);
    /// A call of the store failed.
    void storeFailed();
    /// Adopts a complete list of registrations. @return engines that were known and are dropped
    std::vector<EngineName> replace(const std::vector<EngineRecord> &records, TimePoint now);
    void put(const EngineRecord &record);
    void remove(const EngineName &name, TimePoint now);
    /// Drops engines whose registration did not come back. @return their names
    std::vector<EngineName> expire(TimePoint now);

    /// @return the record of an engine that may get requests, or null
    const EngineRecord *find(const EngineName &name) const;
    /// @return engines of the service that may get new requests; valid until the next change
    std::vector<const EngineRecord *> ofService(const ServiceName &service) const;
    std::size_t size() const;

private:
    struct Entry
    {
        EngineRecord record;
        std::optional<TimePoint> dropAt; // the registration is missing; the engine is kept until then
    };

    bool mayReregister(TimePoint now) const;

    std::map<EngineName, Entry> m_engines;
    bool m_storeUnavailable = false;
    std::optional<TimePoint> m_storeRecoveredAt;
};

} // namespace monsoonward
