#pragma once

#include "centrereports.h"
#include "storewatch.h"

#include <monsoonward/callers/callers.h>

#include <set>
#include <string>

namespace monsoonward
{

/// @brief What a gateway tells operators about itself: its state as JSON, and the metrics that are read when asked for.
class GatewayStatus
{
public:
    /// @param incarnation identifies this run of the process
    /// @param core, store, callers, centreReports must outlive this object
    GatewayStatus(GatewayCore &core,
                  const StoreWatch &store,
                  const CallerListener &callers,
                  const CentreReports &centreReports,
                  std::uint64_t incarnation);

    /// @param unavailableTables tables of the store whose last call failed
    std::string stateJson(bool isReady, const std::set<std::string> &unavailableTables);
    /// @return the metrics as Prometheus text
    std::string metricsText();

private:
    void updateLimitMetrics(TimePoint now);

    GatewayCore &m_core;
    const StoreWatch &m_store;
    const CallerListener &m_callers;
    const CentreReports &m_centreReports;
    std::uint64_t m_incarnation;
};

} // namespace monsoonward
