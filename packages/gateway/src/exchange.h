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
    Exchange(GatewayCore &core, Request request, TimePoint arrived, ResponseSink &sink);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start() override;
    void bytesSent() override;
    /// Cancels the request.
    void callerDisconnected() override;

    void answerBegan(const AnswerHead &head) override;
    void answerBytes(std::string_view bytes) override;
    void callEnded(AttemptOutcome end, const std::string &why) override;

private:
    /// @return whether the request may go on to placement
    bool admit();
    bool findRoute();
    bool findCustomer();
    bool takeAllotment();
    void attempt();
    void send(const Placement &placement);
    std::shared_ptr<const Request> forwarded(const EngineRecord &engine, Duration left) const;
    PlacementRequest placementRequest() const;
    AttemptState stateAfter(AttemptOutcome end) const;
    bool tryAgain(const AttemptState &state);
    void conclude(NextStep step, const std::string &why);
    void finishAnswer();
    void passOnFailure();
    void learnFirstBytes();
    void timeOut();
    Duration timeLeft() const;

    void refuse(unsigned status, const std::string &reason, Duration retryAfter, const std::string &detail);
    void answerOwn(unsigned status, const std::string &reason, Duration retryAfter);
    void end(RequestOutcome outcome, const std::string &reason, const std::string &detail);
    std::string idText() const;

    GatewayCore &m_core;
    Request m_request;
    TimePoint m_arrived;
    ResponseSink *m_sink; // null once the final answer was given
    ServingPtr m_serving;
    const Route *m_route = nullptr;
    const CustomerConfiguration *m_customer = nullptr;
    ServiceName m_service;
    Tier m_tier;
    double m_units = 0; // taken from the customer's allotment
    TimePoint m_deadline;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<EngineCall> m_call;
    TimePoint m_sentAt;
    double m_load = 0; // of the engine when the request was placed
    std::vector<EngineName> m_tried;
    std::uint32_t m_sends = 0;
    bool m_mayHaveRun = false;
    std::string m_lastFailure; // why the last attempt failed
    AnswerHead m_head;
    bool m_isStreaming = false; // events are passed on as they come
    bool m_answerBegan = false; // the caller has the head
    EventSplitter m_events;
    std::string m_body; // of an answer that is passed on whole
    TimePoint m_firstBytesAt;
    TimePoint m_lastEventAt;
    Duration m_longestPause {}; // between events that were passed on
};

/// Copies @p from without the headers that concern only one connection.
boost::beast::http::fields endToEndFields(const boost::beast::http::fields &from);

} // namespace monsoonward
