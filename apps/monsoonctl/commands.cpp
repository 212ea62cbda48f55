#include "commands.h"

#include "output.h"

#include <monsoonward/ini/ini.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace monsoonctl
{

namespace
{

using Json = nlohmann::json;
using monsoonward::ErrorCode;
using monsoonward::Result;
namespace fs = std::filesystem;

constexpr unsigned statusOk = 200;
constexpr std::chrono::milliseconds waitInterval {500};

/// @return name and text of every *.ini file in @p directory, sorted by name
Json readFiles(const std::string &directory)
{
    std::vector<fs::path> paths;
    for (const auto &it : fs::directory_iterator(directory)) {
        if (it.path().extension() == ".ini") {
            paths.push_back(it.path());
        }
    }
    if (paths.empty()) {
        throw std::runtime_error("directory \"" + directory + "\" has no *.ini file");
    }
    std::sort(paths.begin(), paths.end());
    Json files = Json::array();
    for (const auto &it : paths) {
        std::ifstream in(it, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        if (!in) {
            throw std::runtime_error("cannot read \"" + it.string() + "\"");
        }
        files.push_back({{"name", it.filename().string()}, {"text", text.str()}});
    }
    return files;
}

ExitCode exitCodeOf(unsigned status)
{
    switch (status) {
    case statusOk:
        return ExitCode::Done;
    case 400:
        return ExitCode::Usage;
    case 401:
    case 403:
        return ExitCode::Denied;
    case 502:
        return ExitCode::Unknown;
    case 503:
        return ExitCode::Unavailable;
    default:
        return ExitCode::NotAccepted;
    }
}

class Command
{
public:
    explicit Command(const Options &options)
        : m_options(options)
        , m_client(options.address, options.token)
    {
    }

    ExitCode callAndPrint(const std::string &method,
                          const std::string &path,
                          const std::string &body,
                          std::string (*text)(const Json &))
    {
        Json response;
        const auto code = call(method, path, body, response);
        if (code == ExitCode::Done) {
            print(response, text);
        }
        return code;
    }

    ExitCode plan(const Json &intent)
    {
        Json plan;
        const auto code = call("POST", "/operator/plan", intent.dump(), plan);
        if (code != ExitCode::Done) {
            return code;
        }
        print(plan, planText);
        if (!plan.contains("id") || !m_options.yes) {
            return code;
        }
        return confirm(plan.value("id", ""));
    }

    ExitCode confirm(const std::string &id)
    {
        Json response;
        const auto body = Json {{"override", m_options.overrides}}.dump();
        auto code = call("POST", "/operator/confirm/" + id, body, response);
        if (code == ExitCode::Unavailable && !m_mayHaveBeenSent) {
            return code;
        }
        if (code == ExitCode::Unknown && !response.contains("command")) {
            std::cerr << "unknown: the daemon's response was lost\nfind out with: monsoonctl plan " << id << "\n";
        }
        if (code != ExitCode::Done) {
            return code;
        }
        print(response, acceptedText);
        return m_options.wait ? waitFor(id) : code;
    }

private:
    static std::string acceptedText(const Json &response)
    {
        const auto note = response.value("note", "");
        return "accepted: plan " + response.value("plan", "") + ", revision "
            + std::to_string(response.value("revision", std::uint64_t {0})) + (note.empty() ? "" : " (" + note + ")")
            + "\n";
    }

    void print(const Json &response, std::string (*text)(const Json &)) const
    {
        std::cout << (m_options.json ? response.dump() + "\n" : text(response));
    }

    /// Makes one call and prints errors. A lost response gives Unknown for a confirmation or an abort, and Unavailable
    /// for all other calls, which change nothing that is in force.
    ExitCode call(const std::string &method, const std::string &path, const std::string &body, Json &response)
    {
        const auto result = m_client.call(method, path, body);
        m_mayHaveBeenSent = result.has_value() || result.error().code == ErrorCode::Unknown;
        if (!result) {
            std::cerr << "monsoonctl: " << result.error().message << "\n";
            const bool changesState =
                path.rfind("/operator/confirm/", 0) == 0 || path.rfind("/operator/abort/", 0) == 0;
            return changesState && m_mayHaveBeenSent ? ExitCode::Unknown : ExitCode::Unavailable;
        }
        response = Json::parse(result.value().body, nullptr, false);
        const auto code = exitCodeOf(result.value().status);
        if (response.is_discarded()) {
            std::cerr << "monsoonctl: HTTP status " << result.value().status << " without a JSON body from " << path
                      << "\n";
            response = Json::object();
            return code == ExitCode::Done ? ExitCode::NotAccepted : code;
        }
        if (code != ExitCode::Done) {
            std::cerr << (m_options.json ? response.dump() + "\n" : errorText(response));
        }
        return code;
    }

    ExitCode waitFor(const std::string &id)
    {
        const auto deadline = std::chrono::steady_clock::now() + m_options.waitTimeout;
        std::string printedBlocker;
        while (std::chrono::steady_clock::now() < deadline) {
            Json plan;
            const auto code = call("GET", "/operator/plan/" + id, {}, plan);
            const auto state = plan.value("state", "");
            if (code == ExitCode::Done && state != "executing") {
                std::cerr << "plan " << id << " is " << state << ": " << plan.value("outcome", "") << "\n";
                return state == "done" ? ExitCode::Done : ExitCode::NotAccepted;
            }
            const auto blocker = plan.value("waitsFor", "");
            if (!blocker.empty() && blocker != printedBlocker) {
                std::cerr << "waits for " << blocker << "\n";
                printedBlocker = blocker;
            }
            std::this_thread::sleep_for(waitInterval);
        }
        std::cerr << "the plan was accepted, but is not done after " << m_options.waitTimeout.count()
                  << " s; see: monsoonctl plan " << id << "\n";
        return ExitCode::NotAccepted;
    }

    const Options &m_options;
    Client m_client;
    bool m_mayHaveBeenSent = false; ///< whether the last call may have reached the daemon
};

std::string exportText(const Json &response)
{
    return response.value("text", "");
}

std::string diffText(const Json &response)
{
    std::string text;
    for (const auto &it : response.value("changes", Json::array())) {
        text += it.get<std::string>() + "\n";
    }
    return text;
}

std::string dumpText(const Json &response)
{
    return response.dump(2) + "\n";
}

ExitCode dump(const std::string &text, Options options)
{
    const auto address = monsoonward::parseAddress(text);
    if (!address) {
        std::cerr << "monsoonctl: " << address.error().message << "\n";
        return ExitCode::Usage;
    }
    options.address = address.value();
    return Command(options).callAndPrint("GET", "/dump", {}, dumpText);
}

Json intentOf(const Verb &verb, const std::vector<std::string> &arguments, const Options &options)
{
    return {{"intent", verb.name},
            {"subject", arguments[0]},
            {"value", arguments.size() > 1 ? arguments[1] : ""},
            {"override", options.overrides}};
}

} // namespace

ExitCode run(const Verb &verb, const std::vector<std::string> &arguments, const Options &options)
{
    Command command(options);
    switch (verb.kind) {
    case VerbKind::Declare:
        return command.plan(
            {{"intent", "declare"}, {"files", readFiles(arguments[0])}, {"override", options.overrides}});
    case VerbKind::Diff:
        return command.callAndPrint(
            "POST", "/operator/diff", Json {{"files", readFiles(arguments[0])}}.dump(), diffText);
    case VerbKind::Export:
        return command.callAndPrint("GET", "/operator/export", {}, exportText);
    case VerbKind::Plan:
        return command.callAndPrint("GET", "/operator/plan/" + arguments[0], {}, planText);
    case VerbKind::Confirm:
        return command.confirm(arguments[0]);
    case VerbKind::Abort:
        return command.callAndPrint("POST", "/operator/abort/" + arguments[0], {}, planText);
    case VerbKind::Status:
        return command.callAndPrint("GET", "/operator/status", {}, statusText);
    case VerbKind::Log:
        return command.callAndPrint(
            "GET", "/operator/log" + (options.after.empty() ? "" : "?after=" + options.after), {}, logText);
    case VerbKind::Dump:
        return dump(arguments[0], options);
    case VerbKind::Explain: // reads logs only and is handled in main()
        return ExitCode::Usage;
    case VerbKind::Intent:
        return command.plan(intentOf(verb, arguments, options));
    }
    return ExitCode::Usage;
}

} // namespace monsoonctl
