#include "monsoonward/daemon/process.h"

#include "countingtable.h"
#include "handlers.h"
#include "streamlistener.h"
#include "supervisor.h"
#include "targetnode.h"

#include <csignal>
#include <ctime>

namespace monsoonward
{

namespace
{

constexpr unsigned maxPlatformThreads = 4;
constexpr std::size_t adminThreads = 16; // concurrent admin requests, /metrics included; further ones wait
constexpr std::size_t adminConnections = 64;
constexpr std::size_t maxAdminBody = std::size_t {8} * 1024 * 1024;
constexpr auto checkInterval = std::chrono::milliseconds(100);
constexpr auto flushTime = std::chrono::milliseconds(100); // lets the last messages be sent before the daemon stops

/// Logs violated invariants, and thereby counts them; the failed check throws afterwards.
class LoggingInvariantHandler : public InvariantHandler
{
public:
    explicit LoggingInvariantHandler(EventLog &events)
        : m_events(events)
    {
        setInvariantHandler(this);
    }
    ~LoggingInvariantHandler() override
    {
        setInvariantHandler(nullptr);
    }
    LoggingInvariantHandler(const LoggingInvariantHandler &) = delete;
    LoggingInvariantHandler &operator=(const LoggingInvariantHandler &) = delete;
    void violated(const std::string &name, const std::string &detail) override
    {
        m_events.record(Event::InvariantViolated, Severity::Error, name + ": " + detail);
    }

private:
    EventLog &m_events;
};

/// A child that is started and stopped by the given functions.
class FunctionChild : public Child
{
public:
    FunctionChild(std::string name, std::function<Result<void>()> start, std::function<void()> stop)
        : m_name(std::move(name))
        , m_start(std::move(start))
        , m_stop(std::move(stop))
    {
    }
    std::string name() const override
    {
        return m_name;
    }
    Result<void> start() override
    {
        return m_start();
    }
    void stop() override
    {
        m_stop();
    }

private:
    std::string m_name;
    std::function<Result<void>()> m_start;
    std::function<void()> m_stop;
};

/// @return the stop signal received within @p limit, or 0
int waitForSignal(std::chrono::milliseconds limit)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    const std::chrono::nanoseconds rest = limit - seconds;
    const timespec time {seconds.count(), rest.count()};
    const int signal = sigtimedwait(&set, nullptr, &time);
    return signal > 0 ? signal : 0;
}

/// Owns all components of a daemon.
class DaemonProcess
{
public:
    explicit DaemonProcess(const Settings &settings)
        : m_settings(settings)
        , m_log(makeEventLogger(settings.logLevel))
        , m_events(makeCountingEventLog(m_metrics, *m_log))
        , m_invariants(*m_events)
        , m_engines(makeHttpEngineClient())
        , m_supervisor({}, m_clock, *m_events)
    {
        makeNode();
        m_adminHandler = std::make_unique<AdminHandler>(*m_node, m_metrics, adminThreads);
        m_adminServer = std::make_unique<HttpListener>(
            HttpListenerOptions {settings.adminListen, maxAdminBody, adminConnections}, *m_adminHandler);
        addChildren();
    }

    ExitCode run()
    {
        const auto started = m_supervisor.start();
        if (!started) {
            m_events->record(Event::ChildFailed, Severity::Error, started.error().message);
            return ExitCode::Failed;
        }
        m_events->record(Event::DaemonStarted,
                         Severity::Info,
                         "host " + m_settings.host.text() + " incarnation " + textOf(m_node->own().incarnation));
        bool failed = false;
        while (!failed && waitForSignal(checkInterval) == 0) {
            failed = !m_supervisor.check();
        }
        const bool cut = !shutDownGracefully();
        m_supervisor.stop();
        m_events->record(Event::DaemonStopped,
                         cut ? Severity::Warning : Severity::Info,
                         cut ? "requests in progress were cut off: " + m_cutWork : "no request was cut off");
        return cut ? ExitCode::RequestsCut : failed ? ExitCode::Failed : ExitCode::Done;
    }

private:
    void makeNode()
    {
        if (m_settings.role == HostRole::Entry) {
            auto entry = std::make_unique<EntryNode>(
                m_settings, m_clock, m_random, m_countedTable, m_hosts, *m_events, m_metrics);
            m_entry = entry.get();
            m_node = std::move(entry);
        } else {
            auto target = std::make_unique<TargetNode>(m_settings, m_clock, *m_engines, *m_events, m_metrics);
            m_target = target.get();
            m_node = std::move(target);
        }
        m_executor.loop = &m_node->loop();
        ControlOptions options;
        options.own = m_node->own();
        options.role = m_settings.role;
        options.region = m_settings.region;
        options.bootstrapTokenHash = m_settings.bootstrapTokenHash;
        m_control = makeControlPart(
            std::make_unique<ControlNode>(options, m_clock, m_random, m_countedTable, m_objects, *m_node, *m_events));
    }

    void addChildren()
    {
        add(
            "control",
            [this] {
                m_node->startControl(m_control.get());
                return Result<void>(boost::outcome_v2::success());
            },
            [this] { m_node->stopControl(); });
        add(
            "transport", [this] { return m_node->startTransport(); }, [this] { m_node->stopTransport(); });
        if (m_target != nullptr) {
            add(
                "engines", [] { return Result<void>(boost::outcome_v2::success()); }, [this] { m_target->stopRuns(); });
        }
        if (m_entry != nullptr) {
            m_callerHandler = std::make_unique<CallerHandler>(*m_entry);
            m_callerServer = std::make_unique<HttpListener>(
                HttpListenerOptions {m_settings.callerListen, m_settings.maxBodyBytes, m_settings.maxConnections},
                *m_callerHandler);
            add(
                "callers", [this] { return m_callerServer->start(); }, [this] { m_callerServer->stop(); });
            if (m_settings.streamListen.port != 0) {
                m_streamListener = std::make_unique<StreamListener>(
                    StreamListenerOptions {m_settings.streamListen, m_settings.maxBodyBytes}, *m_entry);
                add(
                    "stream-callers",
                    [this] { return m_streamListener->start(); },
                    [this] { m_streamListener->stop(); });
            }
        }
        add(
            "admin", [this] { return m_adminServer->start(); }, [this] { m_adminServer->stop(); });
    }

    void add(const std::string &name, std::function<Result<void>()> start, std::function<void()> stop)
    {
        m_supervisor.add(std::make_unique<FunctionChild>(name, std::move(start), std::move(stop)));
    }

    /// @return false if requests in progress were cut off
    bool shutDownGracefully()
    {
        m_events->record(Event::DaemonStopping, Severity::Info, "host " + m_settings.host.text());
        m_node->beginShutdown();
        const auto startedAt = m_clock.now();
        while (!m_node->idle()) {
            const bool isTimedOut =
                m_settings.shutdownBound > Duration::zero() && m_clock.now() - startedAt >= m_settings.shutdownBound;
            if (isTimedOut || waitForSignal(checkInterval) != 0) {
                m_cutWork = m_entry != nullptr ? std::to_string(m_entry->openRequests()) : m_node->dump();
                return false;
            }
        }
        waitForSignal(flushTime);
        return true;
    }

    Settings m_settings;
    SteadyClock m_clock;
    SystemRandom m_random;
    Metrics m_metrics;
    std::unique_ptr<EventLog> m_log;
    std::unique_ptr<EventLog> m_events;
    LoggingInvariantHandler m_invariants;
    std::unique_ptr<EngineClient> m_engines;
    /// Runs callbacks of the platform clients on the node's control loop. The clients need an executor before the node,
    /// and with it the loop, exists.
    struct DeferredExecutor : Executor
    {
        void post(std::function<void()> task) override
        {
            loop->post(std::move(task));
        }
        ControlLoop *loop = nullptr;
    };
    DeferredExecutor m_executor;
    std::unique_ptr<Node> m_node;
    HttpWorkers m_workers {m_executor, maxPlatformThreads};
    HttpTable m_table {m_workers, {m_settings.table, m_settings.storeTimeout}};
    CountingTable m_countedTable {m_table, m_clock, m_metrics};
    HttpObjectStore m_objects {m_workers, {m_settings.objects, m_settings.storeTimeout}};
    HttpHostList m_hosts {m_workers, {m_settings.hostList, m_settings.storeTimeout}};
    EntryNode *m_entry = nullptr;
    TargetNode *m_target = nullptr;
    std::unique_ptr<ControlPart> m_control;
    std::unique_ptr<CallerHandler> m_callerHandler;
    std::unique_ptr<HttpListener> m_callerServer;
    std::unique_ptr<StreamListener> m_streamListener;
    std::unique_ptr<AdminHandler> m_adminHandler;
    std::unique_ptr<HttpListener> m_adminServer;
    Supervisor m_supervisor;
    std::string m_cutWork; // for the log: how many requests were cut off, or the state of the target
};

} // namespace

void blockStopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

ExitCode runDaemon(const Settings &settings)
{
    DaemonProcess process(settings);
    return process.run();
}

} // namespace monsoonward
