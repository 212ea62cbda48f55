#include "gatewaycallers.h"

#include "exchange.h"

#include <algorithm>

namespace monsoonward
{

GatewayCallers::GatewayCallers(GatewayCore &core)
    : m_core(core)
{
}

CallerLimits GatewayCallers::limits() const
{
    return m_core.serving ? m_core.serving->configuration->limits : CallerLimits();
}

bool GatewayCallers::isStopping() const
{
    return m_core.isStopping;
}

std::shared_ptr<CallerExchange>
GatewayCallers::makeExchange(CallerRequest request, TimePoint arrived, ResponseSink &sink)
{
    return std::make_shared<Exchange>(m_core, std::move(request), arrived, sink);
}

CallerResponse GatewayCallers::errorResponse(unsigned status, const std::string &reason)
{
    m_core.log.write(Event::CallerRefused,
                     Severity::Info,
                     "caller-refused",
                     {{"status", static_cast<std::int64_t>(status)}, {"reason", std::string_view(reason)}});
    CallerResponse answer;
    answer.status = status;
    answer.fields.set("Monsoonward-Verdict", "not-run");
    answer.body = reason + "\n";
    return answer;
}

std::size_t mostCallerConnections(std::uint32_t descriptors)
{
    constexpr std::uint32_t reserved = 500; // files, engines, store, health checks and the platform's own
    constexpr std::size_t least = 16;
    return std::max<std::size_t>(least, descriptors > reserved ? descriptors - reserved : 0);
}

} // namespace monsoonward
