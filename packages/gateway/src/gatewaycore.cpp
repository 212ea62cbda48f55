#include "gatewaycore.h"

namespace monsoonward
{

GatewayCore::GatewayCore(boost::asio::io_context &io,
                         const Clock &clock,
                         const GatewaySettings &settings,
                         const Adapter &adapter,
                         StructuredLog &log,
                         GatewayMetrics &metrics)
    : io(io)
    , clock(clock)
    , settings(settings)
    , adapter(adapter)
    , log(log)
    , metrics(metrics)
    , freshness(settings.freshness)
    , allotments(settings.allotments)
    , retries(settings.retries, clock.now())
    , fleet(settings.host)
    , placer(makeFirstBytesPlacer(settings.places, engines, health, fleet))
    , pool(io, clock)
{
}

} // namespace monsoonward
