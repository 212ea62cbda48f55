#include "monsoonward/gateway/gatewayprocess.h"

#include "eventloop.h"
#include "gatewaycallers.h"
#include "gatewaystatus.h"
#include "loadreports.h"
#include "memberlist.h"
#include "rolloutcontrol.h"
#include "statusserver.h"
#include "storechanges.h"
#include "storewatch.h"
#include "streamcodec.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace monsoonward
{

using boost::system::error_code;

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds(250); // expires engines and idle connections
constexpr Duration maxStartupDelay = std::chrono::milliseconds(
    900); // then connections are accepted even if not ready; callers give up connecting after about a second
constexpr Duration minShutdownTime =
    std::chrono::seconds(3); // the load balancer needs two failed checks to stop sending connections
constexpr Duration idleCloseDelay = std::chrono::milliseconds(2500); // by then callers send new requests elsewhere
constexpr Duration minIdleTime =
    std::chrono::seconds(1); // a caller that has just connected, or was just answered, may be sending a request
constexpr Duration shutdownMargin = std::chrono::milliseconds(400); // part of the grace period, for a clean exit
constexpr Duration finalWriteTime = std::chrono::milliseconds(200); // for the responses to requests that are ended
constexpr Duration handOverTime = std::chrono::milliseconds(600); // for other gateways to confirm streams, at the most
constexpr Duration shutdownTickInterval = std::chrono::milliseconds(50);
constexpr Duration maxLoopDelay = std::chrono::milliseconds(300); // a later tick is logged
constexpr Duration maxReadyProofAge =
    std::chrono::milliseconds(4000); // with an older proof, other gateways should serve the callers
constexpr int exitStopped = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 3;
constexpr int exitRequestsAborted = 4;

std::uint64_t makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Owns and connects the components of one gateway.
class GatewayProcess : public TableFeedHandler
{
public:
    GatewayProcess(const std::string &file, const GatewaySettings &settings, const Adapter &adapter)
        : m_file(file)
        , m_incarnation(makeIncarnation())
        , m_log(LogLimits {settings.logLevel, maxLogQueueBytes, settings.logKilobytesPerSecond * std::size_t {1024}},
                settings.host,
                m_incarnation)
        , m_core(m_io, m_clock, settings, adapter, m_log, m_metrics)
        , m_callerService(m_core)
        , m_callers(
              m_io, m_clock, m_callerService, settings.callerListen, maxCallerConnections(settings.maxDescriptors))
        , m_reports(m_core, m_incarnation, [this](const StoreKnowledge &it) { learnFromPeer(it); })
        , m_members(m_core, m_incarnation, [this](const std::vector<MemberRecord> &it) { membersChanged(it); })
        , m_health(m_io, settings.healthListen, [this](const std::string &path) { return healthReply(path); })
        , m_admin(m_io, settings.adminListen, [this](const std::string &path) { return adminReply(path); })
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_tickTimer(m_io)
        , m_store(m_core, *this, m_random, [this] { m_reports.sendFullReport(); })
        , m_rollouts(m_core, m_store, [this] { m_reports.sendFullReport(); })
        , m_changes(m_core, m_store, m_random.next(), [this](const EngineRecord &it) { m_rollouts.engineSeen(it); })
        , m_status(m_core, m_store, m_callers, m_reports.centreReports(), m_incarnation)
    {
        m_core.onVersionBad = [this](const ServiceName &it) { m_rollouts.versionFoundBad(it); };
    }

    int run()
    {
        const auto datagramReceived = [this](const PeerSocket::Datagram &it) { receive(it); };
        for (const auto &it : {m_callers.listen(),
                               m_health.start(),
                               m_admin.start(),
                               m_core.peers.start(m_core.settings.peerListen, datagramReceived)}) {
            if (!it) {
                m_log.write(Event::ChildFailed,
                            Severity::Error,
                            "start-failed",
                            {{"reason", std::string_view(it.error().message)}});
                return exitFailed;
            }
        }
        m_log.write(Event::DaemonStarted,
                    Severity::Info,
                    "started",
                    {{"data_centre", std::string_view(m_core.settings.topology.ownDataCentre.text())}});
        m_reports.start();
        m_store.start();
        awaitSignal();
        m_startedAt = m_clock.now();
        tick();
        runEventLoop(m_io, [this](const std::string &what) {
            m_log.write(
                Event::UnexpectedError, Severity::Error, "unexpected-error", {{"reason", std::string_view(what)}});
        });
        m_log.write(Event::DaemonStopped,
                    m_exitCode == exitStopped ? Severity::Info : Severity::Warning,
                    "stopped",
                    {{"cut_requests", static_cast<std::int64_t>(m_endedRequests)},
                     {"streams_known", static_cast<std::int64_t>(m_core.streams.directory().size())}});
        releaseRequests();
        return m_exitCode;
    }

    void rowsListed(const std::string &table, const std::vector<TableRow> &rows, ListCause cause) override
    {
        const auto &layout = m_core.adapter.storeLayout();
        if (table == layout.configurationTable) {
            m_changes.configurationRows(rows);
            m_rollouts.ordersListed(rows, cause);
        } else if (table == layout.gatewayTable) {
            m_members.rowsListed(rows);
        } else if (table == layout.stateTable) {
            m_rollouts.statesListed(rows);
        } else {
            m_changes.enginesListed(rows, cause);
        }
        m_store.rowsRead(table, rows);
    }

    void rowsChanged(const std::string &table, const std::vector<TableRow> &rows) override
    {
        const auto &layout = m_core.adapter.storeLayout();
        if (table == layout.configurationTable) {
            m_changes.configurationRows(rows);
            m_rollouts.ordersChanged(rows);
        } else if (table == layout.gatewayTable) {
            m_members.rowsChanged(rows);
        } else if (table == layout.stateTable) {
            m_rollouts.statesChanged(rows);
        } else {
            m_changes.enginesChanged(rows);
        }
        m_store.rowsRead(table, rows);
    }

    void upToDate(const std::string &table, const ReadTime &read) override
    {
        m_store.upToDate(table, read);
        if (table == m_core.adapter.storeLayout().configurationTable) {
            m_rollouts.ordersRead(read);
        }
        acceptIfReady();
    }

    void storeAnswered(const std::string &table) override
    {
        m_metrics.storeCallEnded(table, true);
        if (table == m_core.adapter.storeLayout().engineTable) {
            m_core.engines.storeAnswered(m_clock.now());
        }
        if (m_unavailableTables.erase(table) != 0) {
            m_log.write(Event::StoreRecovered, Severity::Info, "store-recovered", {{"table", std::string_view(table)}});
        }
    }

    void storeFailed(const std::string &table, const Error &error) override
    {
        m_metrics.storeCallEnded(table, false);
        if (table == m_core.adapter.storeLayout().engineTable) {
            m_core.engines.storeFailed(m_clock.now());
        }
        m_store.callFailed(table);
        if (m_unavailableTables.insert(table).second) {
            const auto doubtful =
                table == m_core.adapter.storeLayout().engineTable ? m_changes.doubtStreams() : std::size_t {0};
            m_log.write(Event::StoreUnavailable,
                        Severity::Warning,
                        "store-unavailable",
                        {{"table", std::string_view(table)},
                         {"reason", std::string_view(error.message)},
                         {"doubtful_streams", static_cast<std::int64_t>(doubtful)}});
        }
    }

    void storeRestored(StoreEra era) override
    {
        m_store.storeRestored();
        m_log.write(
            Event::StoreRestored, Severity::Warning, "store-restored", {{"era", static_cast<std::int64_t>(era)}});
    }

    void eraMalformed(const std::string &table) override
    {
        m_metrics.storeEraMalformed();
        if (!std::exchange(m_hasLoggedMalformedEra, true)) {
            m_log.write(Event::StoreEraMalformed,
                        Severity::Warning,
                        "store-era-malformed",
                        {{"table", std::string_view(table)}});
        }
    }

private:
    static constexpr std::size_t maxLogQueueBytes = std::size_t {256} * 1024;

    void receive(const PeerSocket::Datagram &datagram)
    {
        if (!isStreamMessage(datagram.bytes, datagram.size)) {
            m_reports.receive(datagram);
        } else if (const auto received = m_core.streams.receive(datagram); !received) {
            m_reports.reject("stream-message-rejected", datagram.sender, received.error().message);
        }
    }

    void acceptIfReady()
    {
        if (isReady()) {
            m_callers.startAccepting();
        }
    }

    // ---- other gateways

    void learnFromPeer(const StoreKnowledge &knowledge)
    {
        const bool wasAsking = !m_core.peerSurvey.hasEnded();
        m_store.learnFromPeer(knowledge);
        if (wasAsking) {
            acceptIfReady();
        }
    }

    void membersChanged(const std::vector<MemberRecord> &members)
    {
        std::vector<HostName> hosts;
        std::vector<StreamPeer> streamPeers;
        std::vector<HostName> regionHosts;
        std::map<HostName, DataCentreName> locations;
        for (const auto &it : members) {
            hosts.push_back(it.host);
            locations[it.host] = it.dataCentre;
            if (it.host != m_core.settings.host) {
                const bool isSameRegion = m_core.settings.topology.distanceTo(it.dataCentre) != Distance::OtherRegion;
                streamPeers.push_back({it.host, it.peerAddress, it.incarnation});
                if (isSameRegion) {
                    regionHosts.push_back(it.host);
                }
            }
        }
        m_core.fleet.setMembers(hosts, m_clock.now());
        m_core.peerSurvey.membersListed(hosts, m_clock.now());
        m_core.limitDivision.setMembers(std::move(locations));
        m_rollouts.setHosts(hosts);
        m_core.connectionDivision.setMembers(std::move(hosts));
        m_reports.setMembers(members);
        if (!m_core.peerSurvey.isComplete(m_core.fleet, m_clock.now())) {
            m_reports.sendFullReport(); // asks the peers what they hold
        }
        m_core.streams.setPeers(std::move(streamPeers));
        m_store.setRegionHosts(std::move(regionHosts));
        m_log.write(Event::GatewaysChanged,
                    Severity::Info,
                    "gateways-changed",
                    {{"gateways", static_cast<std::int64_t>(m_core.fleet.size())}});
    }

    // ---- health checks, metrics and state

    bool isReady() const
    {
        const auto age = m_core.freshness.age(m_clock.now());
        return !m_core.isStopping && m_core.activeConfiguration && m_changes.haveEnginesBeenListed()
            && m_rollouts.knowsOrders() && age && *age < maxReadyProofAge && m_core.freshness.mayServe(m_clock.now());
    }

    StatusReply healthReply(const std::string &path) const
    {
        if (path != m_core.adapter.dialect().readyPath) {
            return {404, "text/plain", "not found\n"};
        }
        return isReady() ? StatusReply {200, "text/plain", "ready\n"} : StatusReply {503, "text/plain", "not ready\n"};
    }

    StatusReply adminReply(const std::string &path)
    {
        if (path == "/metrics") {
            return {200, "text/plain; version=0.0.4", m_status.metricsText()};
        }
        if (path == "/state") {
            return {200, "application/json", m_status.stateJson(isReady(), m_unavailableTables)};
        }
        return {404, "text/plain", "not found\n"};
    }

    /// Ends the requests in progress and runs the handlers that refer to them. Handlers left to the event loop's
    /// destructor would use components that are destroyed before it.
    void releaseRequests()
    {
        m_callers.closeAll();
        m_io.restart();
        m_io.poll();
    }

    void expireCrashSuspects(TimePoint now)
    {
        auto &suspects = m_core.crashSuspects;
        if (suspects.isEmpty()) {
            return;
        }
        suspects.expire(now);
        const auto write = [&](Event event, Severity severity, std::string_view what, RequestTrait trait) {
            const auto evidence = suspects.evidenceOn(trait);
            m_log.write(event,
                        severity,
                        what,
                        {{"trait", std::to_string(trait)},
                         {"crashes", static_cast<std::int64_t>(evidence.crashes)},
                         {"within_ms", milliseconds(evidence.within)}});
        };
        for (const auto it : suspects.takeNewlyRefused(now)) {
            write(Event::SuspectRecorded, Severity::Warning, "crash-suspect-refused", it);
        }
        for (const auto it : suspects.takeNewlyCleared(now)) {
            write(Event::SuspectCleared, Severity::Info, "crash-suspect-cleared", it);
        }
    }

    // ---- timers and signals

    void noteLoopDelay(TimePoint now)
    {
        if (m_tickDueAt && now - *m_tickDueAt >= maxLoopDelay) {
            m_log.write(Event::EventLoopDelayed,
                        Severity::Warning,
                        "event-loop-delayed",
                        {{"delayed_ms", milliseconds(now - *m_tickDueAt)}});
        }
    }

    void tick()
    {
        const auto now = m_clock.now();
        noteLoopDelay(now);
        for (const auto &it : m_core.engines.expire(now)) {
            m_changes.engineRemoved(it, "registration-did-not-return");
        }
        m_core.pool.expire(m_core.engines);
        m_core.engineLimits.expire(now);
        m_core.engineLimiter.expire();
        expireCrashSuspects(now);
        m_core.streams.expire();
        m_members.tick();
        m_store.pollIfDue(now);
        acceptIfReady();
        m_rollouts.tick(now);
        if (now - m_startedAt >= maxStartupDelay) {
            m_callers.startAccepting();
        }
        const auto interval = m_core.isStopping ? shutdownTickInterval : tickInterval;
        m_tickDueAt = m_clock.now() + interval;
        m_tickTimer.expires_after(interval);
        m_tickTimer.async_wait([this](const error_code &ec) {
            if (!ec && !(m_core.isStopping && continueShutdown())) {
                tick();
            }
        });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const error_code &ec, int signal) {
            if (ec) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else if (!m_core.isStopping) {
                beginShutdown();
            } else if (signal == SIGINT) {
                m_core.abortAt = m_clock.now();
            } else {
                // Overlapping plans may stop a process twice. The second one must not cut requests.
                m_log.write(Event::DaemonStopping, Severity::Info, "stopping-already", {});
            }
            awaitSignal();
        });
    }

    void reload()
    {
        const auto outcome = loadGatewaySettings(m_file);
        for (const auto &it : outcome.errors) {
            m_log.write(Event::SettingsRejected,
                        Severity::Error,
                        "settings-rejected",
                        {{"reason", std::string_view(textOf(it))}});
        }
        if (outcome.errors.empty()) {
            // Only these settings are read again. The others, such as addresses to listen on, need a restart.
            m_core.settings.shutdownGrace = outcome.settings.shutdownGrace;
            m_core.settings.maxMemoryMegabytes = outcome.settings.maxMemoryMegabytes;
            m_core.memory.setBound(memoryBound(m_core.settings));
            m_core.settings.maxDescriptors = outcome.settings.maxDescriptors;
            m_log.write(Event::SettingsReloaded, Severity::Info, "settings-reloaded", {});
        }
    }

    void beginShutdown()
    {
        m_core.isStopping = true;
        m_stoppingSince = m_clock.now();
        m_core.lateRequestsFrom = m_stoppingSince + idleCloseDelay;
        m_core.abortAt = m_stoppingSince + m_core.settings.shutdownGrace - shutdownMargin;
        m_log.write(Event::DaemonStopping,
                    Severity::Info,
                    "stopping",
                    {{"open_requests", static_cast<std::int64_t>(m_core.openRequests)}});
        m_tickTimer.cancel();
        m_tickDueAt.reset();
        tick();
    }

    /// @return whether the shutdown is complete
    bool continueShutdown()
    {
        const auto elapsed = m_clock.now() - m_stoppingSince;
        if (elapsed >= idleCloseDelay) {
            m_callers.closeIdleConnections(minIdleTime);
        }
        if (elapsed >= minShutdownTime && !m_isDeregistered) {
            m_isDeregistered = true;
            m_callers.stopAccepting();
            m_core.streams.leave(); // callers take up elsewhere what is cut at the end
            m_members.deregister();
        }
        const auto now = m_clock.now();
        if (now >= m_core.abortAt) {
            m_endedRequests += m_callers.endRequests();
        }
        const bool isDone = m_core.openRequests == 0 && m_callers.connections() == 0;
        const bool isHandedOver = !m_core.streams.isHandingOver() || elapsed >= minShutdownTime + handOverTime;
        if ((isDone && m_isDeregistered && isHandedOver) || now >= m_core.abortAt + finalWriteTime) {
            exitLoop();
            return true;
        }
        return false;
    }

    void exitLoop()
    {
        m_exitCode = m_endedRequests == 0 ? exitStopped : exitRequestsAborted;
        m_io.stop();
    }

    std::string m_file;
    std::uint64_t m_incarnation;
    boost::asio::io_context m_io {1};
    BootClock m_clock;
    SystemRandom m_random;
    GatewayMetrics m_metrics;
    StructuredLog m_log;
    GatewayCore m_core;
    GatewayCallerService m_callerService;
    CallerListener m_callers;
    LoadReports m_reports;
    MemberList m_members;
    StatusServer m_health;
    StatusServer m_admin;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    StoreWatch m_store;
    RolloutControl m_rollouts;
    StoreChanges m_changes;
    GatewayStatus m_status;
    std::set<std::string> m_unavailableTables; // tables whose last call failed
    bool m_hasLoggedMalformedEra = false;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_tickDueAt;
    TimePoint m_stoppingSince;
    bool m_isDeregistered = false;
    std::size_t m_endedRequests = 0; // by the end of the shutdown
    int m_exitCode = exitStopped;
};

} // namespace

int runGateway(const std::string &file, const Adapter &adapter)
{
    const auto outcome = loadGatewaySettings(file);
    for (const auto &it : outcome.errors) {
        std::cerr << textOf(it) << "\n";
    }
    if (!outcome.errors.empty()) {
        return exitBadSettings;
    }
    signal(SIGPIPE, SIG_IGN);
    GatewayProcess process(file, outcome.settings, adapter);
    return process.run();
}

} // namespace monsoonward
