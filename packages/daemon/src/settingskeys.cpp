#include "settingskeys.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

using Reader = std::function<Result<void>(const std::string &, Settings &)>;

constexpr std::size_t minSecretLength = 16;
constexpr std::size_t sha256HexDigits = 64;

Error notAllowed(const std::string &text)
{
    return {ErrorCode::Invalid, "\"" + text + "\" is not allowed"};
}

Reader readName(std::function<void(Settings &, const std::string &)> set)
{
    return [set = std::move(set)](const std::string &text, Settings &settings) -> Result<void> {
        const auto isNameCharacter = [](unsigned char it) {
            return std::isalnum(it) != 0 || it == '-' || it == '.' || it == '_';
        };
        if (text.empty() || !std::all_of(text.begin(), text.end(), isNameCharacter)) {
            return notAllowed(text);
        }
        set(settings, text);
        return boost::outcome_v2::success();
    };
}

Reader readDuration(Duration Settings::*member, Duration first, Duration last)
{
    return [=](const std::string &text, Settings &settings) -> Result<void> {
        const auto value = parseDuration(text);
        if (!value) {
            return value.error();
        }
        if (value.value() < first || value.value() > last) {
            return notAllowed(text);
        }
        settings.*member = value.value();
        return boost::outcome_v2::success();
    };
}

Reader readNumber(std::uint32_t Settings::*member, std::uint32_t first, std::uint32_t last)
{
    return [=](const std::string &text, Settings &settings) -> Result<void> {
        const auto value = parseNumber(text, last);
        if (!value) {
            return value.error();
        }
        if (value.value() < first) {
            return notAllowed(text);
        }
        settings.*member = static_cast<std::uint32_t>(value.value());
        return boost::outcome_v2::success();
    };
}

Reader readAddress(Address Settings::*member)
{
    return [=](const std::string &text, Settings &settings) -> Result<void> {
        const auto value = parseAddress(text);
        if (!value) {
            return value.error();
        }
        settings.*member = value.value();
        return boost::outcome_v2::success();
    };
}

Result<void> readRole(const std::string &text, Settings &settings)
{
    if (text != "entry" && text != "target") {
        return notAllowed(text);
    }
    settings.role = text == "entry" ? HostRole::Entry : HostRole::Target;
    return boost::outcome_v2::success();
}

Result<void> readSecret(const std::string &text, Settings &settings)
{
    if (text.size() < minSecretLength) {
        return Error {ErrorCode::Invalid, "the secret is too short"}; // must not contain the secret
    }
    settings.sharedSecret = text;
    return boost::outcome_v2::success();
}

Result<void> readEntries(const std::string &text, Settings &settings)
{
    for (const auto &it : splitList(text)) {
        const auto value = parseAddress(it);
        if (!value) {
            return value.error();
        }
        settings.entries.push_back(value.value());
    }
    return boost::outcome_v2::success();
}

Result<void> readTokenHash(const std::string &text, Settings &settings)
{
    const auto isHex = [](unsigned char it) { return std::isxdigit(it) != 0 && std::isupper(it) == 0; };
    if (!text.empty() && (text.size() != sha256HexDigits || !std::all_of(text.begin(), text.end(), isHex))) {
        return notAllowed(text);
    }
    settings.bootstrapTokenHash = text;
    return boost::outcome_v2::success();
}

Result<void> readLogLevel(const std::string &text, Settings &settings)
{
    if (text != "info" && text != "warning" && text != "error") {
        return notAllowed(text);
    }
    settings.logLevel = text;
    return boost::outcome_v2::success();
}

std::vector<SettingsKey> makeKeys()
{
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;
    const std::string name = "letters, digits, '-', '.', '_'";
    const std::string address = "IP number:port";
    return {
        {"daemon", "role", Requirement::Always, "", "", "entry or target", "The role of this daemon.", readRole},
        {"daemon",
         "host",
         Requirement::Always,
         "",
         "",
         name,
         "The host's name, as declared.",
         readName([](Settings &it, const std::string &text) { it.host = HostName(text); })},
        {"daemon",
         "region",
         Requirement::Always,
         "",
         "",
         name,
         "The host's region, as declared.",
         readName([](Settings &it, const std::string &text) { it.region = RegionName(text); })},
        {"daemon",
         "data-centre",
         Requirement::Always,
         "",
         "",
         name,
         "The host's data centre, as declared.",
         readName([](Settings &it, const std::string &text) { it.dataCentre = DataCentreName(text); })},
        {"daemon",
         "shutdown-bound",
         Requirement::Optional,
         "0 s",
         "time",
         "0 s to 24 h",
         "Maximum duration of a graceful shutdown; requests still running then are cut off. 0: no limit.",
         readDuration(&Settings::shutdownBound, Duration {}, hours(24))},
        {"peer",
         "listen",
         Requirement::Always,
         "",
         "",
         address,
         "Where other daemons reach this one.",
         readAddress(&Settings::peerListen)},
        {"peer",
         "secret",
         Requirement::Always,
         "",
         "",
         "16 characters or more",
         "Shared by all daemons, which authenticate each other with it.",
         readSecret},
        {"peer",
         "entries",
         Requirement::Optional,
         "",
         "",
         "addresses separated by commas",
         "Entries to connect to before a configuration is known.",
         readEntries},
        {"peer",
         "heartbeat-interval",
         Requirement::Optional,
         "300 ms",
         "time",
         "50 ms to 10 s",
         "Time between heartbeats.",
         readDuration(&Settings::heartbeatInterval, milliseconds(50), seconds(10))},
        {"peer",
         "heartbeat-timeout",
         Requirement::Optional,
         "1500 ms",
         "time",
         "100 ms to 60 s",
         "A peer that sends nothing for this long is considered dead.",
         readDuration(&Settings::heartbeatTimeout, milliseconds(100), minutes(1))},
        {"callers",
         "listen",
         Requirement::Entry,
         "",
         "",
         address,
         "HTTP/1.1 for callers.",
         readAddress(&Settings::callerListen)},
        {"callers",
         "stream-listen",
         Requirement::Optional,
         "127.0.0.1:0",
         "",
         address + "; port 0 disables it",
         "HTTP/2 for callers that want answers streamed.",
         readAddress(&Settings::streamListen)},
        {"callers",
         "max-body-bytes",
         Requirement::Optional,
         "4194304",
         "bytes",
         "1024 to 15728640",
         "Largest request body; a larger one is refused with 413.",
         readNumber(&Settings::maxBodyBytes, 1024, 15U * 1024U * 1024U)},
        {"callers",
         "max-open-requests",
         Requirement::Optional,
         "4096",
         "requests",
         "1 to 100000",
         "Requests in progress at once; one more is refused with 503.",
         readNumber(&Settings::maxOpenRequests, 1, 100000)},
        {"callers",
         "max-connections",
         Requirement::Optional,
         "4096",
         "connections",
         "16 to 100000",
         "HTTP/1.1 connections at once; more wait until one closes.",
         readNumber(&Settings::maxConnections, 16, 100000)},
        {"callers",
         "max-threads",
         Requirement::Optional,
         "512",
         "threads",
         "4 to 10000",
         "Ignored, since requests need no threads of their own. Accepted so that existing files stay valid.",
         readNumber(&Settings::maxThreads, 4, 10000)},
        {"admin",
         "listen",
         Requirement::Always,
         "",
         "",
         address,
         "Metrics, state dump and operators; separate from the callers.",
         readAddress(&Settings::adminListen)},
        {"admin",
         "bootstrap-token-hash",
         Requirement::Optional,
         "",
         "",
         "SHA-256 in 64 lower-case hexadecimal digits, or empty",
         "Hash of the token that may declare configurations while no operator is configured.",
         readTokenHash},
        {"platform",
         "table",
         Requirement::Always,
         "",
         "",
         address,
         "The table service.",
         readAddress(&Settings::table)},
        {"platform",
         "objects",
         Requirement::Always,
         "",
         "",
         address,
         "The object store.",
         readAddress(&Settings::objects)},
        {"platform",
         "host-list",
         Requirement::Always,
         "",
         "",
         address,
         "The list of live and leaving hosts.",
         readAddress(&Settings::hostList)},
        {"platform",
         "timeout",
         Requirement::Optional,
         "2 s",
         "time",
         "100 ms to 60 s",
         "A platform call without an answer after this time has failed.",
         readDuration(&Settings::storeTimeout, milliseconds(100), minutes(1))},
        {"log",
         "level",
         Requirement::Optional,
         "info",
         "",
         "info, warning or error",
         "Minimum severity that is logged.",
         readLogLevel},
    };
}

} // namespace

const std::vector<SettingsKey> &settingsKeys()
{
    static const std::vector<SettingsKey> keys = makeKeys();
    return keys;
}

} // namespace monsoonward
