#pragma once

#include "enginecall.h"
#include "gatewaycore.h"

#include <monsoonward/callers/callers.h>

namespace monsoonward
{

/// @brief Proxies one request of a caller: finds its route, customer and engine, sends it, retries it on other engines
/// where that is allowed, and forwards the response.
class Exchange : public CallerExchange, public EngineCallHandler, public std::enable_shared_from_this<Exchange>
{
public:
    using Request = CallerRequest;

    /// @param arrivedAt when the request's header was read
    /// @param sink must stay valid until the final response or callerDisconnected()
    Exchange(GatewayCore &core, Request request, TimePoint arrivedAt, ResponseSink &sink);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start() override;
    void bytesSent() override;
    void endNow() override;
    /// Cancels the request at the engine.
    void callerDisconnected() override;

    std::string reasonNotToSend() override;
    void engineLeaving() override;
    void pauseRequested(Duration length) override;
    void rateLimitStated(std::optional<double> perSecond) override;
    void rateLimitMalformed(const std::string &reason) override;
    void connectionLost() override;
    void connectionRefused() override;
    void responseStarted(const ResponseHead &head) override;
    void bodyReceived(std::string_view bytes) override;
    void callEnded(AttemptOutcome outcome, const std::string &reason) override;

private:
    /// The run of an engine that writes a stream's events.
    struct Writer
    {
        EngineRecord engine;
        TimePoint registeredBy; // registrations read at this time or later contain the run
        bool isConfirmed = false; // such registrations name the run
    };

    /// By then a failed store call has been retried, or requests have ended.
    static constexpr Duration defaultRetryAfter = std::chrono::milliseconds(500);

    /// A new connection reaches another gateway.
    static constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(50);

    /// Checks the request and charges it to its customer's rate limit.
    /// @return whether the request may be placed; if not, it has been refused
    bool admit();
    bool findRoute();
    bool findCustomer();
    bool applyRateLimit();
    /// @return the tokens that the request states; nothing if it states none, or what can't be read
    std::optional<double> statedTokens() const;
    /// @return whether the request may be handled by the active configuration
    bool isConfigurationFresh(TimePoint now) const;
    /// Ends the request if it has a trait that crashes engines, unless it may probe that.
    /// @return whether it was ended
    bool refusedAsSuspect();
    std::vector<RequestTrait> traits() const;
    void recordCrash(const EngineRecord &engine);
    /// @return whether the request goes on with a stream that an earlier request began
    bool isTakeUp() const;
    /// @param request ID of the request that brought the stream's first event
    StreamKey streamKey(std::string_view request) const;
    /// Finds the version at which the stream began, and continues with attempt() or refuses the request.
    void findStream();
    void streamFound(const StreamFinding &finding);
    /// Sets the service to that of the route which has engines of the build.
    /// @return whether there is one
    bool chooseServiceOf(EngineBuild build);
    void refuseTakeUp(const std::string &reason, const std::string &detail);
    /// The first event has arrived: from now on only engines of this version may go on with the stream.
    void recordStreamStart();
    /// Records the run of the engine that writes the events from now on.
    void recordWriter();
    /// @return whether registrations that were read in time name the run that writes the events, so that its version is
    /// certain
    bool confirmWriter();
    /// Tells other gateways at which version the stream began, unless they know.
    void tellStream();
    /// Tells the gateways that know the stream that its version isn't certain.
    void doubtStream();
    /// @return whether the engine that answers under the name has the version of its registration
    bool isVersionCertain(const EngineName &engine) const;
    /// @return engines of the service whose version isn't certain: a stream must not go on there
    std::vector<EngineName> uncertainEngines() const;
    /// @return whether there are engines of the stream's build that another reading of the registrations may exclude
    bool mustReadEngines() const;
    /// Reads the registrations before a stream goes on at another engine.
    /// @param goOn called if the caller is still there
    void readEngines(std::function<void()> goOn);
    /// @return whether it isn't certain which version wrote the events that the caller has
    bool isStreamDoubtful() const;
    void attempt();
    /// Places the request at an engine of a version that it may be sent to.
    Placement place(TimePoint now);
    /// The request was sent to the version on trial that place() has chosen, or couldn't be sent.
    void recordTrial(bool isSent);
    /// @param time to the first bytes, or of the whole response; nothing if the answer was bad
    void recordVersionAnswer(const EngineRecord &engine, std::optional<Duration> time);
    void send(const Placement &placement);
    std::shared_ptr<const EngineCall::Request> makeEngineRequest(const EngineRecord &engine, Duration timeout) const;
    PlacementRequest placementRequest() const;
    AttemptState attemptStateAfter(AttemptOutcome outcome) const;
    /// Sends the request to another engine if that is allowed, and ends it otherwise.
    void continueAfter(const AttemptState &state);
    bool retry(const AttemptState &state);
    void finishWith(NextStep step, const std::string &reason);
    void finishResponse();
    void forwardFailure();
    /// Reads more of the engine's response when there is memory for it.
    void resumeWithMemory();
    /// Ends the attempt because of what the engine has sent.
    void breakOff(const std::string &reason);
    void recordFirstBytes();
    void onDeadline();
    /// Cancels the attempt in progress, if there is one.
    void cancelCall();
    /// Cancels the attempt in progress and sends the final response.
    /// @param statusIfMayHaveRun of the response if an engine may have run the request
    void giveUp(unsigned statusIfMayHaveRun, const std::string &reason, Duration retryAfter);
    Duration timeLeft() const;

    void refuse(unsigned status, const std::string &reason, Duration retryAfter, const std::string &detail);
    void sendGatewayResponse(unsigned status, const std::string &reason, Duration retryAfter);
    void recordEnd(RequestOutcome outcome, const std::string &reason, const std::string &detail);
    std::string requestId() const;
    /// @return the parts of the prompt as the request states them
    std::string_view promptParts() const;
    PromptBeginnings prompt() const;
    /// Records which beginnings of the prompt the engine reads.
    void sendPrompt(const Placement &placement);

    GatewayCore &m_core;
    const std::shared_ptr<const Request> m_requestOwner; // requests to engines refer to its body
    const Request &m_request;
    TimePoint m_arrivedAt;
    ResponseSink *m_sink; // null after the final response, and once the caller has disconnected
    ActiveConfigurationPtr m_configuration;
    const Route *m_route = nullptr;
    const CustomerConfiguration *m_customer = nullptr;
    ServiceName m_service;
    Tier m_tier;
    double m_chargedUnits = 0; // charged to the customer's rate limit
    TimePoint m_deadline;
    TimePoint m_callerDeadline; // until then the caller may take the stream up, at any gateway
    boost::asio::steady_timer m_timer;
    std::shared_ptr<EngineCall> m_call;
    TimePoint m_sentAt;
    double m_loadAtPlacement = 0; // load of the engine
    double m_promptTokens = 0; // 0 if the request states none
    double m_heldTokens = 0; // of the prompt, which the engine probably holds
    std::optional<EngineAllowance> m_allowanceAtPlacement; // of the engine
    std::vector<EngineName> m_triedEngines;
    StreamKey m_stream; // valid if m_streamBuild is set, or while the stream is looked up
    std::optional<EngineBuild> m_streamBuild; // of the stream's first event; nothing before it
    bool m_isStreamDoubtful = false; // m_streamBuild isn't certain
    std::optional<Writer> m_writer; // of the newest events
    bool m_isStreamTold = false; // to other gateways
    bool m_areEnginesRead = false; // since the last attempt ended
    std::string m_streamSource; // who knew the stream that the request takes up, for the log
    std::string m_streamHolders; // the gateways that were told where the stream began, for the log
    std::string m_lastVersion; // of the software of the engine tried last, for the log
    std::uint32_t m_attempts = 0;
    bool m_isCrashProbe = false; // it probes traits that are refused because of crashes
    bool m_isTrial = false; // the last placement is a trial of a new version
    std::optional<Duration> m_timeToFirstBytes; // of the last attempt, if it began a stream
    bool m_mayHaveRun = false;
    bool m_hasLostConnection = false; // the engine of the last attempt ended the connection early
    std::string m_lastFailure; // why the last attempt failed, for the log
    ResponseHead m_responseHead;
    bool m_isStreaming = false; // the response is an event stream, forwarded event by event
    bool m_responseStarted = false; // the caller was sent the response headers
    EventSplitter m_eventSplitter;
    std::string m_responseBody; // of a response that is no stream
    MemoryShare m_responseShare; // of m_responseBody
    boost::asio::steady_timer m_memoryTimer; // while the response waits for memory
    std::optional<TimePoint> m_heldBackSince; // when the response began to wait for memory
    bool m_isHeldBack = false; // the engine's response is read on when the caller has taken what it was sent
    TimePoint m_firstBytesAt;
    TimePoint m_lastEventAt;
    Duration m_maxEventGap {}; // longest time between two forwarded events
};

/// @return a copy of @p source without the hop-by-hop headers
boost::beast::http::fields endToEndFields(const boost::beast::http::fields &source);

} // namespace monsoonward
