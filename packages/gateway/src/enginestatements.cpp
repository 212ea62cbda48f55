#include "enginestatements.h"

#include <algorithm>
#include <cstdio>

namespace monsoonward
{

namespace
{

/// @param source where the statement was: the request that got it, or the gateway that reported it
void logLimitChange(GatewayCore &core, const EngineRecord &engine, std::optional<double> perSecond, LogField source)
{
    const LogField name {"engine", std::string_view(engine.name.text())};
    if (!perSecond) {
        core.log.write(Event::EngineLimitLifted, Severity::Info, "engine-limit-lifted", {name, source});
        return;
    }
    const auto allowance = core.engineLimiter.allowanceOf(engine, core.clock.now());
    core.log.write(Event::EngineLimitStated,
                   Severity::Info,
                   "engine-limit-stated",
                   {name, source, {"per_second", *perSecond}, {"own_per_second", allowance ? allowance->share : 0.0}});
}

std::string decimal(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.2f", value);
    return buf;
}

} // namespace

void recordRateLimit(GatewayCore &core,
                     const EngineRecord &engine,
                     std::optional<double> perSecond,
                     const std::string &request)
{
    if (core.engineLimits.record(runOf(engine), perSecond, core.clock.now())) {
        logLimitChange(core, engine, perSecond, {"request", std::string_view(request)});
    }
}

void recordMalformedRateLimit(GatewayCore &core,
                              const EngineRecord &engine,
                              const std::string &reason,
                              const std::string &request)
{
    core.metrics.engineLimitMalformed();
    if (core.engineLimits.recordMalformed(runOf(engine), core.clock.now())) {
        core.log.write(Event::EngineLimitMalformed,
                       Severity::Warning,
                       "engine-limit-malformed",
                       {{"engine", std::string_view(engine.name.text())},
                        {"request", std::string_view(request)},
                        {"reason", std::string_view(reason)}});
    }
}

void recordReportedRateLimits(GatewayCore &core,
                              const std::vector<EngineLimitStatement> &statements,
                              const HostName &gateway)
{
    for (const auto &it : core.engineLimits.addReport(statements, core.clock.now())) {
        const auto engines = core.engines.all();
        const auto engine = std::find_if(
            engines.begin(), engines.end(), [&](const EngineRecord *record) { return runOf(*record) == it.run; });
        if (engine != engines.end()) {
            logLimitChange(core, **engine, it.perSecond, {"peer", std::string_view(gateway.text())});
        }
    }
}

std::string textOf(const std::optional<EngineAllowance> &allowance)
{
    if (!allowance) {
        return "";
    }
    return "engine limit per second " + decimal(allowance->perSecond) + " stated ms ago "
        + std::to_string(milliseconds(allowance->age)) + " own per second " + decimal(allowance->share);
}

} // namespace monsoonward
