#include "monsoonward/gateway/gatewaysettings.h"

#include <charconv>

namespace monsoonward
{

namespace
{

using Setting = SettingDefinition<GatewaySettings>;
using Reader = std::function<Result<void>(const std::string &, GatewaySettings &)>;

constexpr Duration transitMargin = std::chrono::milliseconds(300); // time in transit of a request from its caller

Error invalidValue(const std::string &text)
{
    return {ErrorCode::Invalid, "\"" + text + "\" is not allowed"};
}

template<class Set>
Reader readText(Set set)
{
    return [set](const std::string &text, GatewaySettings &settings) -> Result<void> {
        if (text.empty()) {
            return invalidValue(text);
        }
        set(settings, text);
        return boost::outcome_v2::success();
    };
}

template<class Set>
Reader readDuration(Duration min, Duration max, Set set)
{
    return [=](const std::string &text, GatewaySettings &settings) -> Result<void> {
        BOOST_OUTCOME_TRY(value, parseDuration(text));
        if (value < min || value > max) {
            return invalidValue(text);
        }
        set(settings, value);
        return boost::outcome_v2::success();
    };
}

Reader readNumber(std::uint32_t GatewaySettings::*member, std::uint32_t min, std::uint32_t max)
{
    return [=](const std::string &text, GatewaySettings &settings) -> Result<void> {
        BOOST_OUTCOME_TRY(value, parseNumber(text, max));
        if (value < min) {
            return invalidValue(text);
        }
        settings.*member = static_cast<std::uint32_t>(value);
        return boost::outcome_v2::success();
    };
}

template<class Set>
Reader readDecimal(double max, Set set)
{
    return [=](const std::string &text, GatewaySettings &settings) -> Result<void> {
        double n = 0;
        const char *end = text.data() + text.size();
        const auto [stop, ec] = std::from_chars(text.data(), end, n);
        if (ec != std::errc() || stop != end || !(n >= 0) || n > max) {
            return invalidValue(text);
        }
        set(settings, n);
        return boost::outcome_v2::success();
    };
}

Reader readAddress(Address GatewaySettings::*member)
{
    return [=](const std::string &text, GatewaySettings &settings) -> Result<void> {
        BOOST_OUTCOME_TRY(value, parseAddress(text));
        settings.*member = value;
        return boost::outcome_v2::success();
    };
}

/// Reads comma-separated "data centre: region" pairs. A JSON object of strings is accepted, too.
Result<void> readRegions(const std::string &text, GatewaySettings &settings)
{
    std::string plain;
    for (const char it : text) {
        plain += it == '{' || it == '}' || it == '"' ? ' ' : it;
    }
    for (const auto &it : splitList(plain)) {
        const auto colon = it.find(':');
        if (colon == std::string::npos) {
            return invalidValue(it);
        }
        const auto dataCentre = splitList(it.substr(0, colon));
        const auto region = splitList(it.substr(colon + 1));
        if (dataCentre.size() != 1 || region.size() != 1) {
            return invalidValue(it);
        }
        settings.topology.regions[DataCentreName(dataCentre.front())] = RegionName(region.front());
    }
    return boost::outcome_v2::success();
}

Result<void> readRole(const std::string &text, GatewaySettings & /*settings*/)
{
    return text == "gateway" ? Result<void>(boost::outcome_v2::success()) : Result<void>(invalidValue(text));
}

Result<void> readLevel(const std::string &text, GatewaySettings &settings)
{
    if (text != "info" && text != "warning" && text != "error") {
        return invalidValue(text);
    }
    settings.logLevel = text;
    return boost::outcome_v2::success();
}

Result<void> readSums(const std::string &text, GatewaySettings &settings)
{
    static const std::map<std::string, SumsMode> modes {
        {"auto", SumsMode::Auto}, {"yes", SumsMode::Always}, {"no", SumsMode::Never}};
    const auto it = modes.find(text);
    if (it == modes.end()) {
        return invalidValue(text);
    }
    settings.reportSums = it->second;
    return boost::outcome_v2::success();
}

std::vector<Setting> makeSettings()
{
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;
    const std::string address = "IP number:port";
    const auto required = std::nullopt;
    return {
        {"daemon", "role", required, "", "gateway", "Role of this process.", readRole},
        {"daemon",
         "host",
         required,
         "",
         "a name",
         "Name of the host, unique among the gateways.",
         readText([](GatewaySettings &it, const std::string &text) { it.host = HostName(text); })},
        {"daemon",
         "data-centre",
         required,
         "",
         "a name",
         "Data centre of the host.",
         readText(
             [](GatewaySettings &it, const std::string &text) { it.topology.ownDataCentre = DataCentreName(text); })},
        {"daemon",
         "regions",
         "",
         "",
         "data centre: region pairs, separated by commas",
         "The region of each data centre.",
         readRegions},
        {"daemon",
         "grace",
         "8 s",
         "time",
         "1 s to 24 h",
         "Time from SIGTERM until the process is killed. A shutdown completes before that.",
         readDuration(
             seconds(1), std::chrono::hours(24), [](GatewaySettings &it, Duration n) { it.shutdownGrace = n; })},
        {"callers",
         "listen",
         required,
         "",
         address,
         "HTTP/1.1 for callers.",
         readAddress(&GatewaySettings::callerListen)},
        {"health",
         "listen",
         required,
         "",
         address,
         "HTTP/1.1 for the load balancer's health checks.",
         readAddress(&GatewaySettings::healthListen)},
        {"admin",
         "listen",
         required,
         "",
         address,
         "Metrics at /metrics, state at /state.",
         readAddress(&GatewaySettings::adminListen)},
        {"peer",
         "listen",
         required,
         "",
         address,
         "Load reports between gateways, over UDP.",
         readAddress(&GatewaySettings::peerListen)},
        {"peer",
         "sums",
         "auto",
         "",
         "auto, yes or no",
         "Whether load reports go through collectors of each data centre: auto in fleets of more than 40 gateways.",
         readSums},
        {"store", "address", required, "", address, "The fleet's table store.", readAddress(&GatewaySettings::store)},
        {"store",
         "wait",
         "10 s",
         "time",
         "100 ms to 30 s",
         "How long a long poll of a table waits for a change. Must be shorter than the history that the store keeps.",
         readDuration(milliseconds(100), seconds(30), [](GatewaySettings &it, Duration n) { it.storePollTime = n; })},
        {"limits",
         "memory",
         "128",
         "MB",
         "16 to 1048576",
         "Memory of the process. What is held for callers and engines may take a third of it.",
         readNumber(&GatewaySettings::maxMemoryMegabytes, 16, 1024U * 1024U)},
        {"limits",
         "descriptors",
         "1024",
         "descriptors",
         "64 to 1048576",
         "File descriptors of the process. They limit the number of caller connections.",
         readNumber(&GatewaySettings::maxDescriptors, 64, 1024U * 1024U)},
        {"promises",
         "key-revocation",
         "5 s",
         "time",
         "1 s to 1 h",
         "Longest time for which a revoked key is still accepted.",
         readDuration(seconds(1),
                      std::chrono::hours(1),
                      [](GatewaySettings &it, Duration n) { it.freshness.maxAgeForKeys = n - transitMargin; })},
        {"promises",
         "configuration-change",
         "0 s",
         "time",
         "0 s to 1 h",
         "Longest time for which a gateway that knows of a newer configuration handles requests by the old one; 0: no "
         "limit.",
         readDuration(Duration::zero(),
                      std::chrono::hours(1),
                      [](GatewaySettings &it, Duration n) {
                          const bool isLimited = n > Duration::zero();
                          it.freshness.maxAgeWhenBehind =
                              isLimited ? std::max<Duration>(n - transitMargin, milliseconds(1)) : Duration::zero();
                      })},
        {"promises",
         "retry-ratio",
         "0.2",
         "retries for each request",
         "0 to 10",
         "Retries allowed for each service, over all gateways.",
         readDecimal(10, [](GatewaySettings &it, double n) { it.retryBudget.ratio = n; })},
        {"promises",
         "retry-slack",
         "50",
         "retries",
         "0 to 1000000",
         "Retries allowed in addition to the ratio, in each window.",
         readDecimal(1e6, [](GatewaySettings &it, double n) { it.retryBudget.slack = n; })},
        {"promises",
         "retry-window",
         "10 s",
         "time",
         "1 s to 1 h",
         "Period over which retries are counted.",
         readDuration(
             seconds(1), std::chrono::hours(1), [](GatewaySettings &it, Duration n) { it.retryBudget.window = n; })},
        {"promises",
         "allotment-ratio",
         "0",
         "of the limit",
         "0 to 1",
         "Fraction by which a customer may exceed its limit, over all gateways.",
         readDecimal(1, [](GatewaySettings &it, double n) { it.rateLimitTolerance.ratio = n; })},
        {"promises",
         "allotment-units",
         "0",
         "units",
         "0 to 1e12",
         "Units by which a customer may exceed that in a window of a few seconds.",
         readDecimal(1e12, [](GatewaySettings &it, double n) { it.rateLimitTolerance.units = n; })},
        {"promises",
         "rollout-share",
         "0",
         "of a service's requests",
         "0 to 1",
         "Share that a bad version may get between the order of a roll-out and its time limit; 0: no roll-outs.",
         readDecimal(1, [](GatewaySettings &it, double n) { it.rollouts.exposureShare = n; })},
        {"promises",
         "rollout-slack",
         "0",
         "requests",
         "0 to 1000000",
         "Requests that it may get besides.",
         readDecimal(1e6, [](GatewaySettings &it, double n) { it.rollouts.exposureSlack = n; })},
        {"promises",
         "rollout-rollback",
         "5 s",
         "time",
         "1 s to 1 h",
         "Longest time for which a version gets requests after evidence that it is bad.",
         readDuration(
             seconds(1), std::chrono::hours(1), [](GatewaySettings &it, Duration n) { it.rollouts.rollbackTime = n; })},
        {"placement",
         "prompt-reuse-window",
         "0 s",
         "time",
         "0 s to 1 h",
         "Time after its last use during which an engine may still hold the beginning of a prompt. 0 s: placement "
         "doesn't consider it.",
         readDuration(
             seconds(0), std::chrono::hours(1), [](GatewaySettings &it, Duration n) { it.promptReuseWindow = n; })},
        {"log", "level", "info", "", "info, warning or error", "Minimum severity that is logged.", readLevel},
        {"log",
         "kilobytes-per-second",
         "256",
         "kB/s",
         "1 to 1048576",
         "Info records beyond this are dropped and counted.",
         readNumber(&GatewaySettings::logKilobytesPerSecond, 1, 1024U * 1024U)},
    };
}

const std::vector<Setting> &settingDefinitions()
{
    static const std::vector<Setting> rows = makeSettings();
    return rows;
}

} // namespace

GatewaySettingsOutcome parseGatewaySettings(const std::string &file, const std::string &text)
{
    return readSettings(file, parseIni(file, text), settingDefinitions());
}

GatewaySettingsOutcome loadGatewaySettings(const std::string &file)
{
    return readSettings(file, loadIni(file), settingDefinitions());
}

std::string gatewaySettingsPage()
{
    return settingsMarkdown(settingDefinitions());
}

} // namespace monsoonward
