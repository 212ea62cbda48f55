#include "storewatch.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration configurationPollPause = std::chrono::milliseconds(300); // between polls during a burst of changes
constexpr Duration registrationPollPause = std::chrono::milliseconds(
    600); // the same for engines and gateways; an engine that leaves may get requests for this much longer
constexpr Duration maxCallTimeToReport =
    std::chrono::milliseconds(500); // a proof is dated at the start of its call; an older one waits for the next report

constexpr Duration maxReadingTime = std::chrono::milliseconds(300); // of the registrations, for a stream that waits
constexpr unsigned maxReadings = 3; // for those that wait at the same time
constexpr std::size_t maxOtherVersions = 4096; // of rows of other tables, between two readings of the registrations

/// Notes since when the store has been @p seen at a version up to which a table hasn't been @p read.
void noteIfBehind(std::optional<TimePoint> &since, std::uint64_t seen, std::uint64_t read, TimePoint now)
{
    if (seen > read && !since) {
        since = now;
    }
}

} // namespace

StoreWatch::StoreWatch(GatewayCore &core, TableFeedHandler &handler, Random &random, std::function<void()> reportProof)
    : m_core(core)
    , m_reportProof(std::move(reportProof))
    , m_spread(random.nextDouble())
    , m_readerTimer(core.io)
{
    core.registrations = this;
    const auto &layout = core.adapter.storeLayout();
    m_configurationFeed = makeFeed(layout.configurationTable, configurationPollPause, handler);
    m_engineFeed = makeFeed(layout.engineTable, registrationPollPause, handler);
    m_gatewayFeed = makeFeed(layout.gatewayTable, registrationPollPause, handler);
    if (core.settings.rollouts.isEnabled() && !layout.stateTable.empty()) {
        m_stateFeed = makeFeed(layout.stateTable, configurationPollPause, handler);
    }
}

StoreWatch::~StoreWatch()
{
    m_core.registrations = nullptr;
}

std::unique_ptr<TableFeed>
StoreWatch::makeFeed(const std::string &table, Duration changeDelay, TableFeedHandler &handler)
{
    const auto &settings = m_core.settings;
    const auto makeStore = [&] { return m_core.adapter.makeRowStore(m_core.io, settings.store); };
    return std::make_unique<TableFeed>(
        m_core.io, m_core.clock, makeStore(), makeStore(), m_eras, table, settings.storePollTime, changeDelay, handler);
}

void StoreWatch::start()
{
    m_configurationFeed->start();
    m_engineFeed->start();
    m_gatewayFeed->start();
    if (m_stateFeed) {
        m_stateFeed->start();
    }
}

void StoreWatch::setRegionHosts(std::vector<HostName> hosts)
{
    m_regionHosts = std::move(hosts);
}

void StoreWatch::configurationRead(Revision revision)
{
    m_storedRevision = revision;
}

void StoreWatch::upToDate(const std::string &table, const ReadTime &read)
{
    if (read.storeTimeMs > 0) {
        m_storeClock.observe(read.era, read.storeTimeMs, read.startedAt);
    }
    auto &knowledge = m_core.knowledge;
    knowledge.era = m_eras.current();
    knowledge.engineVersion = m_engineFeed->newestRowVersion();
    knowledge.gatewayVersion = m_gatewayFeed->newestRowVersion();
    const auto &layout = m_core.adapter.storeLayout();
    if (table == layout.engineTable) {
        m_enginesBehindSince.reset();
        m_unreadVersion.reset();
        m_core.engines.setBehind(std::nullopt);
        m_core.engines.registrationsRead(asOf(read));
        continueReaders();
    } else if (table == layout.gatewayTable) {
        m_gatewaysBehindSince.reset();
    }
    noteStoreVersion(read.storeVersion, asOf(read));
    if (table == layout.configurationTable) {
        m_pendingProof = read;
        noteConfigurationBehind(m_core.clock.now());
    }
    recordPendingProof();
}

TimePoint StoreWatch::asOf(const ReadTime &read) const
{
    // A long poll is answered long after its start.
    const auto shown = localTime(read.storeTimeMs, m_core.clock.now()).value_or(read.startedAt);
    return std::clamp(shown, read.startedAt, read.answeredAt);
}

void StoreWatch::rowsRead(const std::string &table, const std::vector<TableRow> &rows)
{
    const auto readUpTo = m_engineFeed->readUpTo();
    if (table == m_core.adapter.storeLayout().engineTable) {
        m_otherVersions.erase(m_otherVersions.begin(), m_otherVersions.upper_bound(readUpTo));
    } else {
        for (const auto &it : rows) {
            if (it.version > readUpTo) {
                m_otherVersions.insert(it.version);
            }
        }
    }
    if (m_otherVersions.size() > maxOtherVersions) {
        m_otherVersions.clear(); // the registrations are read instead
    }
    if (m_unreadVersion && areRegistrationsReadUpTo(m_unreadVersion->first)) {
        const auto [version, at] = *m_unreadVersion;
        noteStoreVersion(version, at);
    }
}

bool StoreWatch::areRegistrationsReadUpTo(std::uint64_t version) const
{
    const auto readUpTo = m_engineFeed->readUpTo();
    if (version <= readUpTo) {
        return true;
    }
    const auto begin = m_otherVersions.upper_bound(readUpTo);
    const auto end = m_otherVersions.upper_bound(version);
    return static_cast<std::uint64_t>(std::distance(begin, end)) == version - readUpTo;
}

/// Every answer states the version of the whole store, so it tells of changes in all tables.
void StoreWatch::noteStoreVersion(std::uint64_t version, TimePoint at)
{
    if (areRegistrationsReadUpTo(version)) {
        if (!m_unreadVersion || m_unreadVersion->first <= version) {
            m_unreadVersion.reset();
            m_enginesBehindSince.reset();
        }
        m_core.engines.setBehind(m_enginesBehindSince);
        m_core.engines.storeReachable(at);
        return;
    }
    noteUnread(version, at);
}

void StoreWatch::noteUnread(std::uint64_t version, TimePoint at)
{
    if (!m_unreadVersion || m_unreadVersion->first < version) {
        m_unreadVersion = {version, at};
    }
    m_enginesBehindSince = m_enginesBehindSince.value_or(m_core.clock.now());
    m_core.engines.setBehind(m_enginesBehindSince);
}

void StoreWatch::recordPendingProof()
{
    if (!m_pendingProof || !m_core.peerSurvey.mayProve(m_core.fleet, m_core.clock.now())) {
        return;
    }
    if (isNewestRevision()) {
        recordOwnProof(*m_pendingProof);
    }
    m_pendingProof.reset();
}

bool StoreWatch::isNewestRevision() const
{
    return m_core.activeConfiguration
        && m_core.fleet.isNewestRevision(m_core.activeConfiguration->configuration->revision, m_storedRevision);
}

void StoreWatch::recordOwnProof(const ReadTime &read)
{
    m_core.freshness.recordProof(read.startedAt);
    auto &knowledge = m_core.knowledge;
    knowledge.revision = m_core.activeConfiguration->configuration->revision;
    if (read.storeTimeMs <= 0 || m_core.freshness.isSettling(read.startedAt)) {
        return;
    }
    // The call began no earlier than this on the store's clock.
    const auto callLength = read.answeredAt - read.startedAt;
    const auto provenAtMs = read.storeTimeMs - milliseconds(callLength);
    if (provenAtMs > knowledge.provenAtMs) {
        knowledge.provenAtMs = provenAtMs;
        knowledge.provenVersion = read.storeVersion;
        if (callLength < maxCallTimeToReport) {
            m_reportProof();
        }
    }
}

void StoreWatch::storeRestored()
{
    m_core.freshness.storeRestored(m_core.clock.now());
    m_storedRevision = 0;
    m_pendingProof.reset();
    m_otherVersions.clear();
    m_unreadVersion.reset();
    // From now on, reports that date proofs in the former era are not comparable.
    m_core.knowledge.era = m_eras.current();
    m_core.knowledge.provenAtMs = 0;
    m_core.knowledge.provenVersion = 0;
    pollAll();
}

// ---- reading the registrations for those that wait for them

void StoreWatch::readNow(std::function<void()> done)
{
    if (m_readers.empty()) {
        m_readings = 0;
        m_readerTimer.expires_after(maxReadingTime);
        m_readerTimer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec) {
                finishReaders(std::exchange(m_readers, {}));
            }
        });
    }
    m_readers.push_back({m_core.clock.now(), std::move(done)});
    if (!m_engineFeed->pollNow()) {
        finishReaders(std::exchange(m_readers, {}));
    }
}

void StoreWatch::continueReaders()
{
    if (m_readers.empty()) {
        return;
    }
    const auto readAsOf = m_core.engines.readAsOf();
    const auto firstUnread = std::stable_partition(m_readers.begin(), m_readers.end(), [&](const PendingReader &it) {
        return readAsOf && *readAsOf >= it.askedAt;
    });
    std::vector<PendingReader> unread(std::make_move_iterator(firstUnread), std::make_move_iterator(m_readers.end()));
    m_readers.erase(firstUnread, m_readers.end());
    finishReaders(std::exchange(m_readers, std::move(unread)));
    if (m_readers.empty()) {
        m_readerTimer.cancel();
        return;
    }
    ++m_readings;
    if (m_readings >= maxReadings || !m_engineFeed->pollNow()) {
        finishReaders(std::exchange(m_readers, {}));
    }
}

void StoreWatch::callFailed(const std::string &table)
{
    if (table == m_core.adapter.storeLayout().engineTable) {
        finishReaders(std::exchange(m_readers, {}));
    }
    pollAll(); // a long poll on a connection that went silent would notice an outage only at its end
}

void StoreWatch::finishReaders(std::vector<PendingReader> readers)
{
    for (auto &it : readers) {
        boost::asio::post(m_core.io, std::move(it.done)); // they may read again
    }
}

// ---- polls beside the long polls

void StoreWatch::pollAll()
{
    m_configurationFeed->pollNow();
    m_engineFeed->pollNow();
    m_gatewayFeed->pollNow();
    pollStates();
}

void StoreWatch::pollOrders()
{
    m_configurationFeed->pollNow();
}

void StoreWatch::pollStates()
{
    if (m_stateFeed) {
        m_stateFeed->pollNow();
    }
}

std::optional<TimePoint> StoreWatch::localTime(std::int64_t storeTimeMs, TimePoint now) const
{
    return storeTimeMs <= 0 ? std::nullopt : m_storeClock.earliest(m_eras.current(), storeTimeMs, now);
}

void StoreWatch::learnFromPeer(const StoreKnowledge &reported)
{
    recordPendingProof();
    auto &knowledge = m_core.knowledge;
    if (reported.era != knowledge.era) {
        return;
    }
    const auto now = m_core.clock.now();
    if (reported.engineVersion > m_engineFeed->readUpTo()) {
        noteUnread(reported.engineVersion, now);
    }
    noteIfBehind(m_gatewaysBehindSince, reported.gatewayVersion, m_gatewayFeed->readUpTo(), now);
    // Most reports repeat a proof that is known here, so the costlier checks come last.
    if (reported.provenAtMs <= knowledge.provenAtMs || reported.revision != knowledge.revision || !isNewestRevision()) {
        return;
    }
    const auto provenAt = m_storeClock.earliest(knowledge.era, reported.provenAtMs, now);
    if (provenAt && *provenAt <= now) { // a proof from the future is an error of its sender
        m_core.freshness.recordProof(*provenAt);
        m_core.engines.storeAnsweredPeer(*provenAt);
        if (reported.provenVersion > 0) {
            noteStoreVersion(reported.provenVersion, *provenAt);
        }
        knowledge.provenAtMs = reported.provenAtMs;
        knowledge.provenVersion = reported.provenVersion;
    }
}

bool StoreWatch::isProofDue(TimePoint now) const
{
    const auto &active = m_core.activeConfiguration;
    if (!active || m_pendingProof) {
        return false;
    }
    const auto age = m_core.freshness.age(now);
    const bool isOld = !age || *age >= proofAgeToRenew(m_core.settings.freshness, proofRank(now), m_spread);
    const bool othersHoldNewer = m_core.fleet.highestRevision(now) > active->configuration->revision;
    return othersHoldNewer || (isOld && !m_core.freshness.isSettling(now));
}

bool StoreWatch::areChangesArriving()
{
    const bool isReceiving = m_configurationFeed->isReceiving();
    return std::exchange(m_wasReceiving, isReceiving) && isReceiving;
}

void StoreWatch::noteConfigurationBehind(TimePoint now)
{
    if (!m_core.activeConfiguration) {
        return;
    }
    const auto active = m_core.activeConfiguration->configuration->revision;
    const auto known = m_core.fleet.highestRevision(now);
    const bool isArriving = areChangesArriving();
    const auto since = m_core.freshness.behindSince();
    if ((known > active || isArriving) && !since) {
        m_core.freshness.newerExists(now);
        m_core.log.write(Event::ConfigurationBehind,
                         Severity::Warning,
                         "configuration-behind",
                         {{"revision", static_cast<std::int64_t>(active)},
                          {"known", static_cast<std::int64_t>(known)},
                          {"arriving", isArriving}});
    } else if (known <= active && !isArriving && since) {
        m_core.freshness.newestAdopted();
        m_core.log.write(Event::ConfigurationCaughtUp,
                         Severity::Info,
                         "configuration-caught-up",
                         {{"revision", static_cast<std::int64_t>(active)}, {"behind_ms", milliseconds(now - *since)}});
    }
}

void StoreWatch::pollIfDue(TimePoint now)
{
    recordPendingProof();
    noteConfigurationBehind(now);
    if (isProofDue(now)) {
        m_configurationFeed->pollNow();
    }
    const bool isBehind = m_enginesBehindSince && now - *m_enginesBehindSince >= EngineDirectory::maxLag;
    if (isBehind || m_core.engines.mayHaveMissed()) {
        m_engineFeed->pollNow();
    }
    if (m_gatewaysBehindSince && now - *m_gatewaysBehindSince >= EngineDirectory::maxLag) {
        m_gatewayFeed->pollNow();
    }
}

StoreEra StoreWatch::era() const
{
    return m_eras.current();
}

std::size_t StoreWatch::proofRank(TimePoint now) const
{
    return m_core.fleet.dutyRank(m_regionHosts, now);
}

} // namespace monsoonward
