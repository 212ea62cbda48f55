#include "gatewaycore.h"

namespace monsoonward
{

std::size_t memoryBound(const GatewaySettings &settings)
{
    constexpr std::size_t mebibyte = std::size_t {1024} * 1024;
    constexpr std::size_t divisor = 3; // the rest is for the program, its connections and what the kernel holds unread
    return settings.maxMemoryMegabytes * mebibyte / divisor;
}

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
    , rateLimiter(settings.rateLimitTolerance, hashOf(settings.host.text()))
    , retryBudget(settings.retryBudget, clock.now())
    , crashSuspects(uniformOf(hashOf(settings.host.text())))
    , fleet(settings.host)
    , peerSurvey(settings.host)
    , limitDivision(settings.topology, settings.host, fleet)
    , engineLimiter(engineLimits, limitDivision)
    , promptSavings(settings.promptReuseWindow)
    , placer(makeFirstBytesPlacer(settings.topology, engines, health, fleet, engineLimiter, &promptSavings))
    , connectionDivision(settings.host, fleet)
    , pool(io, clock, connectionDivision, continuity)
    , peers(io)
    , streams(io, clock, fleet, peers, metrics)
    , rollouts(settings.rollouts, settings.host, engines, fleet, settings.topology)
    , memory(memoryBound(settings))
{
    pool.onExtraBytes = [this](const EngineName &engine) {
        this->log.write(
            Event::EngineAnswerBroken,
            Severity::Warning,
            "engine-answer-broken",
            {{"engine", std::string_view(engine.text())}, {"reason", std::string_view("bytes after a response")}});
    };
}

} // namespace monsoonward
