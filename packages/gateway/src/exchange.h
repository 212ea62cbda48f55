#pragma once

#include "enginecall.h"
#include "gatewaycore.h"

#include <monsoonward/callers/callers.h>

namespace monsoonward
{

/// @brief One request of a caller, from its arrival to its final answer: finds route, customer and engine, sends it,
/// sends it again where that is allowed, and passes the answer on.
class Exchange : public CallerExchange, public EngineCallHandler, public std::enable_shared_from_this<Exchange>
{
public:
    using Request = EngineCall::Request;

    /// @param sink outlives the exchange, or calls callerGone()
    Exchange(GatewayCore &core, Request request, TimePoint arrivedAt, ResponseSink &sink);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start() override;
    void bytesSent() override;
    /// Cancels the request.
    void callerDisconnected() override;

    void responseStarted(const ResponseHead &head) override;
    void bodyReceived(std::string_view bytes) override;
    void callEnded(AttemptEnd end, const std::string &reason) override;

private:
    /// @return whether the request may go on to placement
    bool admit();
    bool findRoute();
    bool findCustomer();
    bool takeAllotment();
    void attempt();
    void send(const Placement &placement);
    std::shared_ptr<const Request> makeEngineRequest(const EngineRecord &engine, Duration timeout) const;
    PlacementRequest placementRequest() const;
    AttemptState attemptStateAfter(AttemptEnd end) const;
    bool retry(const AttemptState &state);
    void finishWith(NextStep step, const std::string &reason);
    void finishResponse();
    void forwardFailure();
    void recordFirstBytes();
    void onDeadline();
    Duration timeLeft() const;

    void refuse(unsigned status, const std::string &reason, Duration retryAfter, const std::string &detail);
    void respondItself(unsigned status, const std::string &reason, Duration retryAfter);
    void recordEnd(RequestOutcome outcome, const std::string &reason, const std::string &detail);
    std::string requestId() const;

    GatewayCore &m_core;
    Request m_request;
    TimePoint m_arrivedAt;
    ResponseSink *m_sink; // null once the final answer was given
    ActiveConfigurationPtr m_configuration;
    const Route *m_route = nullptr;
    const ServedCustomer *m_customer = nullptr;
    ServiceName m_service;
    Tier m_tier;
    double m_units = 0; // taken from the customer's allotment
    TimePoint m_deadline;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<EngineCall> m_call;
    TimePoint m_sentAt;
    double m_loadAtPlacement = 0; // of the engine when the request was placed
    std::vector<EngineName> m_triedEngines;
    std::uint32_t m_attempts = 0;
    bool m_mayHaveRun = false;
    std::string m_lastFailure; // why the last attempt failed
    ResponseHead m_responseHead;
    bool m_isStreaming = false; // events are passed on as they come
    bool m_responseStarted = false; // the caller has the head
    EventSplitter m_eventSplitter;
    std::string m_responseBody; // of an answer that is passed on whole
    TimePoint m_firstBytesAt;
    TimePoint m_lastEventAt;
    Duration m_maxEventGap {}; // between events that were passed on
};

/// Copies @p fields without the headers that concern only one connection.
boost::beast::http::fields endToEndFields(const boost::beast::http::fields &fields);

} // namespace monsoonward
