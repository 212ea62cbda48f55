// What an exchange checks before it is placed.
#include "exchange.h"

#include "headervalues.h"
#include "httpstatus.h"

#include <algorithm>

namespace monsoonward
{

namespace http = boost::beast::http;
using boost::system::error_code;
using namespace httpstatus;

namespace
{

constexpr Duration minRateLimitWait =
    std::chrono::milliseconds(100); // the response and the next request are in transit for that long anyway
constexpr Duration defaultTimeLimit = std::chrono::seconds(30); // if neither caller nor route sets a limit
constexpr Duration maxCallerDeadline = std::chrono::hours(1); // a caller that states more is taken to give up earlier
constexpr double maxTokens = 1e9; // of a request; engines hold under a millionth of it

/// @return the tier that orders requests first by their customer's tier, then by their route's
Tier combinedTier(Tier customer, Tier route)
{
    constexpr unsigned routeTiers = 10;
    return Tier(customer.level() * routeTiers + std::min(route.level(), routeTiers - 1));
}

} // namespace

bool Exchange::admit()
{
    if (!m_configuration) {
        refuse(unavailable, "no-configuration", defaultRetryAfter, "");
        return false;
    }
    if (viewOf(m_request[m_core.adapter.dialect().requestId]).empty()) {
        refuse(badRequest, "no-request-id", Duration::zero(), "");
        return false;
    }
    if (!findRoute() || !findCustomer()) {
        return false;
    }
    const auto stated = sumOfList(viewOf(m_request[m_core.adapter.dialect().timeLeft]));
    auto left = m_route->timeLimit > Duration::zero() ? m_route->timeLimit : defaultTimeLimit;
    m_callerDeadline = m_arrivedAt + left;
    if (stated && *stated > 0) {
        const auto atMost = [&](Duration limit) { // a larger number may not fit into Duration
            using Milliseconds = std::chrono::duration<double, std::milli>;
            return std::chrono::duration_cast<Duration>(std::min(Milliseconds(*stated), Milliseconds(limit)));
        };
        m_callerDeadline = m_arrivedAt + atMost(maxCallerDeadline);
        left = atMost(left);
    }
    m_deadline = m_arrivedAt + left;
    m_timer.expires_after(timeLeft());
    m_timer.async_wait([self = shared_from_this()](const error_code &ec) {
        if (!ec) {
            self->onDeadline();
        }
    });
    const auto lateFrom = std::min(m_core.lateRequestsFrom, m_core.abortAt);
    if (m_core.isStopping && m_arrivedAt >= lateFrom && m_deadline > m_core.abortAt) {
        refuse(unavailable, "stopping", stoppingRetryAfter, "");
        return false;
    }
    m_core.retryBudget.recordRequest(m_service, m_arrivedAt);
    return applyRateLimit();
}

bool Exchange::findRoute()
{
    m_route = m_configuration->routes.find(viewOf(m_request[http::field::host]), viewOf(m_request.target()));
    if (m_route == nullptr || m_route->services.empty()) {
        const bool isCertain = m_core.freshness.mayDeny(m_core.clock.now());
        refuse(isCertain ? notFound : unavailable, isCertain ? "no-route" : "stale-route", defaultRetryAfter, "");
        return false;
    }
    m_service = serviceFor(*m_route, hashOf(requestId()));
    m_tier = combinedTier(m_route->tier, m_route->tier);
    return true;
}

bool Exchange::findCustomer()
{
    if (m_route->isPublic || !m_configuration->customers.requiresKey()) {
        return true;
    }
    const auto now = m_core.clock.now();
    m_customer = m_configuration->customers.find(viewOf(m_request[m_core.adapter.dialect().apiKey]));
    if (m_customer == nullptr) {
        const bool isCertain = m_core.freshness.mayDeny(now);
        refuse(isCertain ? unauthorized : unavailable, isCertain ? "unknown-key" : "stale-key", defaultRetryAfter, "");
        return false;
    }
    m_tier = combinedTier(m_customer->tier.value_or(m_route->tier), m_route->tier);
    return true;
}

std::optional<double> Exchange::statedTokens() const
{
    const auto stated = viewOf(m_request[m_core.adapter.dialect().tokenCounts]);
    if (stated.empty()) {
        return std::nullopt;
    }
    const auto tokens = sumOfList(stated);
    if (tokens && *tokens <= maxTokens) {
        return tokens;
    }
    const std::string reason = tokens ? "token-count-out-of-range" : "token-count-no-number";
    m_core.metrics.tokenCountMalformed();
    if (const auto count = m_core.callerFaults.add(reason, m_core.clock.now())) {
        m_core.log.write(Event::TokenCountMalformed,
                         Severity::Warning,
                         "token-count-malformed",
                         {{"request", requestId()},
                          {"customer", std::string_view(m_customer->name.text())},
                          {"reason", std::string_view(reason)},
                          {"count", static_cast<std::int64_t>(*count)}});
    }
    return std::nullopt;
}

bool Exchange::applyRateLimit()
{
    if (m_customer == nullptr) {
        return true;
    }
    const auto now = m_core.clock.now();
    const auto &name = m_customer->name;
    const auto tokens = statedTokens();
    const auto units = m_customer->countsTokens ? tokens.value_or(m_customer->defaultRequestUnits) : 1.0;
    const auto demand = m_core.rateLimiter.demand(name, now) + units;
    const RateLimitShare share {m_core.fleet.reportingFraction(now),
                                m_core.fleet.ownFractionFor(name, demand, now),
                                m_core.fleet.unreportedUnits(name, now)};
    if (!m_core.rateLimiter.take(*m_customer, units, share, now)) {
        const auto wait = m_core.rateLimiter.waitTime(*m_customer, units, share);
        const auto text = [](double n) { return std::to_string(static_cast<std::int64_t>(n)); };
        refuse(tooManyRequests,
               "allotment",
               std::max<Duration>(wait, minRateLimitWait),
               "units " + text(units) + " level " + text(m_core.rateLimiter.level(name)) + " demand " + text(demand)
                   + " share per mille " + text(share.ownFraction * 1000) + " heard per mille "
                   + text(share.reportingFraction * 1000));
        return false;
    }
    m_chargedUnits = units;
    return true;
}

} // namespace monsoonward
