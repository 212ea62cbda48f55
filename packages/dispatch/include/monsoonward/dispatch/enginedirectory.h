#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <map>
#include <optional>
#include <set>
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
    /// Start time of the engine's process in Unix milliseconds; tells apart two runs under one name. 0 if not stated.
    std::uint64_t incarnation = 0;
    std::string softwareVersion {}; ///< of the engine's program, not of its model
    MONSOONWARD_FIELDS(name, service, address, dataCentre, slots, isLeaving, incarnation, softwareVersion)
};

/// @brief The registered engines.
///
/// Registrations expire while the store is unavailable, although the engines are running; the engines register again
/// soon after the store has recovered. An engine whose registration is missing during that time is therefore kept, and
/// dropped only if it hasn't registered again within the timeout.
///
/// An engine that said that it is leaving stays so until it registers with another incarnation. The store may be
/// restored from an older copy: engines that were leaving stay so, and one that had departed and is listed again gets
/// requests only after its registration has been written again, or has stayed for the confirmation time.
class EngineDirectory
{
public:
    /// Engines register again within this time after the store has recovered.
    static constexpr Duration reregistrationTimeout = std::chrono::seconds(2); // stated by the store's operators
    /// An engine that starts again under its name is in use for up to this long before its registration is read here.
    static constexpr Duration registrationDelay = std::chrono::seconds(3);
    /// Engines that are gone are removed from a restored store within this time: three heartbeats and their detection.
    static constexpr Duration confirmationTime = std::chrono::seconds(6);
    /// Without contact to the store for longer, a daemon may have missed registrations: it was cut off, or it was
    /// paused.
    static constexpr Duration maxSilence = std::chrono::milliseconds(2500);
    /// A registration that another daemon has read arrives here within this time.
    static constexpr Duration maxLag = std::chrono::milliseconds(800);
    /// What was read longer ago doesn't tell at which engine a stream may go on.
    static constexpr Duration maxReadingAge = std::chrono::seconds(1);
    /// Departed engines are remembered for this long; the copies that the store is restored from are seconds old.
    static constexpr Duration departureMemory = std::chrono::minutes(1);

    /// A call for the registrations succeeded.
    void storeAnswered(TimePoint now);
    /// A call for another table that began at @p at, here or at a peer whose proof was taken over, has shown that the
    /// store holds no newer registrations than those applied.
    void storeReachable(TimePoint at);
    /// A call for the registrations failed.
    void storeFailed(TimePoint now);
    /// Another daemon's call that began at @p at was answered, also while those of this one fail: then the store is
    /// available, and a registration that is missing after its time to return is gone.
    void storeAnsweredPeer(TimePoint at);
    /// All registrations that the store held at @p at have been applied.
    void registrationsRead(TimePoint at);
    /// @return the latest time of which it is known that all registrations from before it have been applied
    std::optional<TimePoint> readAsOf() const;
    /// @param since the store may hold a newer registration than this daemon has read, since then; nothing if it
    /// doesn't
    void setBehind(std::optional<TimePoint> since);
    /// @return whether registrations may have been missed during a silence, and have to be read again
    bool mayHaveMissed() const;
    /// Applies a complete list of registrations.
    /// @return engines that were dropped
    std::vector<EngineName> replace(const std::vector<EngineRecord> &records, TimePoint now);
    /// Applies a complete list of registrations from a store that was restored from an older copy.
    /// @return engines that were dropped
    std::vector<EngineName> replaceAfterRestore(const std::vector<EngineRecord> &records, TimePoint now);
    /// Adds or replaces an engine.
    void put(const EngineRecord &record);
    /// Drops an engine whose registration is missing, or keeps it until the timeout if the store has just recovered or
    /// is unavailable.
    void remove(const EngineName &name, TimePoint now);
    /// The engine itself said that it is leaving. It gets no new requests in this incarnation.
    /// @return whether this was not known yet
    bool markLeaving(const EngineName &name);
    /// Drops engines that didn't register again within the timeout, and confirms those that stayed registered.
    /// @return their names
    std::vector<EngineName> expire(TimePoint now);

    /// @return the record of an engine, or null; valid until the next change
    const EngineRecord *find(const EngineName &name) const;
    /// @return whether the engine is known and may get new requests
    bool mayReceive(const EngineName &name) const;
    /// @param connectedSince since when one run of the engine has answered, see EngineContinuity
    /// @return whether the engine that answers now has the version of its registration: this daemon reads all
    /// registrations in time, or the run had been connected for the time that reading takes before it no longer did
    bool isVersionCertain(std::optional<TimePoint> connectedSince, TimePoint now) const;
    /// @return whether that follows from the connection alone, see isVersionCertain()
    bool isRunProven(std::optional<TimePoint> connectedSince) const;
    /// @return whether the registrations were read within maxReadingAge
    bool isCurrent(TimePoint now) const;
    /// @return whether registrations that were read at @p by or later name the same run of the engine as @p engine
    bool isRunRegistered(const EngineRecord &engine, TimePoint by) const;
    /// @return streams that began at this time or later, at an engine whose version isn't certain, may have begun at
    /// another version; nothing if all registrations can be read
    std::optional<TimePoint> uncertainSince(TimePoint now) const;
    /// @return engines that said in an answer that they are leaving
    std::set<EngineName> selfReportedLeaving() const;
    /// @return engines of the service that may get new requests; valid until the next change
    std::vector<const EngineRecord *> ofService(const ServiceName &service) const;
    /// @return all known engines; valid until the next change
    std::vector<const EngineRecord *> all() const;
    std::size_t size() const;

private:
    struct Entry
    {
        EngineRecord record;
        std::optional<TimePoint> dropAt; // if the registration is missing: the engine is kept until then
        std::optional<TimePoint> confirmedAt; // listed again by a restored store: gets no requests until then
        bool hasReportedLeaving = false; // in one of its answers
    };
    struct Departure
    {
        std::uint64_t incarnation = 0;
        bool wasLeaving = false;
        TimePoint at;
    };

    static bool mayReceive(const Entry &entry);
    bool mayReregister(TimePoint now) const;
    /// @return whether all registrations are read in time
    bool isInStep(TimePoint now) const;
    void recordContact(TimePoint at);
    void recordReading(TimePoint at);
    /// @return until when the same run of the engine waits to be confirmed; to be called before put()
    std::optional<TimePoint> unconfirmedUntil(const EngineRecord &record) const;
    std::vector<EngineName> removeUnlisted(const std::vector<EngineRecord> &records, TimePoint now);
    void erase(std::map<EngineName, Entry>::iterator it, TimePoint now);

    std::map<EngineName, Entry> m_engines;
    std::map<EngineName, Departure> m_departed;
    bool m_storeUnavailable = false;
    TimePoint m_unavailableSince; // for this daemon
    std::optional<TimePoint> m_answersPeersSince; // after that, without a longer silence
    TimePoint m_answeredPeerAt;
    std::optional<TimePoint> m_storeRecoveredAt;
    std::optional<TimePoint> m_readAsOf;
    std::optional<TimePoint> m_lastContactAt; // with the store, of this daemon or of one whose proof was taken over
    std::optional<TimePoint> m_silenceEndedAt; // registrations from before it may be missing
    std::optional<TimePoint> m_behindSince;
};

} // namespace monsoonward
