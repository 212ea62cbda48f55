#pragma once

#include "gatewaycore.h"

#include <monsoonward/callers/callers.h>

namespace monsoonward
{

/// @brief Serves the callers' listener: creates an Exchange for each request.
class GatewayCallerService : public CallerService
{
public:
    explicit GatewayCallerService(GatewayCore &core);

    CallerLimits limits() const override;
    bool isStopping() const override;
    std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint arrivedAt, ResponseSink &sink) override;
    CallerResponse errorResponse(unsigned status, const std::string &reason) override;
    void inputDiscarded(std::size_t bytes) override;
    MemoryAccount *memory() override;

private:
    GatewayCore &m_core;
};

/// @return how many caller connections a process with this many file descriptors may hold
std::size_t maxCallerConnections(std::uint32_t maxDescriptors);

} // namespace monsoonward
