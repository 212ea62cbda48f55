#pragma once

#include "gatewaycore.h"

#include <monsoonward/callers/callers.h>

namespace monsoonward
{

/// @brief What the gateway does with callers' requests: an Exchange for each.
class GatewayCallers : public CallerService
{
public:
    explicit GatewayCallers(GatewayCore &core);

    CallerLimits limits() const override;
    bool isStopping() const override;
    std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint arrivedAt, ResponseSink &sink) override;
    CallerResponse errorResponse(unsigned status, const std::string &reason) override;

private:
    GatewayCore &m_core;
};

/// @return connections of callers that a process with so many descriptors may hold
std::size_t maxCallerConnections(std::uint32_t maxDescriptors);

} // namespace monsoonward
