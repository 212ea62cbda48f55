#include "gatewaycallers.h"

#include "exchange.h"
#include "headervalues.h"
#include "httpstatus.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::string_view memoryReason = "memory";
constexpr Duration refusalRetryAfter = std::chrono::milliseconds(500); // by then requests have ended

} // namespace

GatewayCallerService::GatewayCallerService(GatewayCore &core)
    : m_core(core)
{
}

CallerLimits GatewayCallerService::limits() const
{
    return m_core.activeConfiguration ? m_core.activeConfiguration->configuration->limits : CallerLimits();
}

bool GatewayCallerService::isStopping() const
{
    return m_core.isStopping;
}

std::shared_ptr<CallerExchange>
GatewayCallerService::makeExchange(CallerRequest request, TimePoint arrivedAt, ResponseSink &sink)
{
    return std::make_shared<Exchange>(m_core, std::move(request), arrivedAt, sink);
}

CallerResponse GatewayCallerService::errorResponse(unsigned status, const std::string &reason)
{
    m_core.metrics.callerRefused(status, reason);
    if (const auto count = m_core.callerFaults.add(reason, m_core.clock.now())) {
        const bool isMemory = reason == memoryReason;
        m_core.log.write(isMemory ? Event::MemoryShort : Event::CallerRefused,
                         isMemory ? Severity::Warning : Severity::Info,
                         isMemory ? "memory-short" : "caller-refused",
                         {{"status", static_cast<std::int64_t>(status)},
                          {"reason", std::string_view(reason)},
                          {"count", static_cast<std::int64_t>(*count)},
                          {"held_bytes", static_cast<std::int64_t>(m_core.memory.held())}});
    }
    CallerResponse response;
    response.status = status;
    if (status == httpstatus::unavailable) {
        response.fields.set(boost::beast::http::field::retry_after, retryAfterText(refusalRetryAfter));
    }
    response.fields.set("Monsoonward-Verdict", "not-run");
    response.body = reason + "\n";
    return response;
}

void GatewayCallerService::inputDiscarded(std::size_t bytes)
{
    m_core.log.write(Event::CallerInputDiscarded,
                     Severity::Warning,
                     "caller-input-discarded",
                     {{"bytes", static_cast<std::int64_t>(bytes)}, {"stopping", m_core.isStopping}});
}

MemoryAccount *GatewayCallerService::memory()
{
    return &m_core.memory;
}

std::size_t maxCallerConnections(std::uint32_t maxDescriptors)
{
    constexpr std::uint32_t reservedDescriptors =
        500; // for files, connections to engines and store, health checks and the platform
    constexpr std::size_t minConnections = 16;
    return std::max<std::size_t>(minConnections,
                                 maxDescriptors > reservedDescriptors ? maxDescriptors - reservedDescriptors : 0);
}

} // namespace monsoonward
