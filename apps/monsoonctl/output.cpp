#include "output.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <sstream>

namespace monsoonctl
{

namespace
{

using Json = nlohmann::json;

std::string formatRow(const Row &row, const std::vector<std::size_t> &widths)
{
    std::string text;
    for (std::size_t n = 0; n < row.size(); ++n) {
        text += row[n];
        if (n + 1 < row.size()) {
            text += std::string(widths[n] - row[n].size() + 2, ' ');
        }
    }
    return text + "\n";
}

std::string numberText(const Json &json, const char *key)
{
    return std::to_string(json.value(key, std::uint64_t {0}));
}

void addSteps(std::ostringstream &out, const Json &plan)
{
    const bool isDone = plan.value("state", "") == "done";
    const auto current = plan.contains("execution") ? plan["execution"].value("step", std::size_t {0}) : 0;
    std::size_t n = 0;
    out << "steps:\n";
    for (const auto &it : plan.value("steps", Json::array())) {
        const char *mark = isDone || n < current ? "x" : " ";
        ++n;
        out << "  [" << mark << "] " << n << ". " << it.value("text", "");
        for (const auto &target : it.value("targets", Json::array())) {
            out << " " << target.get<std::string>();
        }
        out << "\n";
    }
}

void addCapacity(std::ostringstream &out, const Json &plan)
{
    std::vector<Row> rows;
    for (const auto &it : plan.value("capacity", Json::array())) {
        rows.push_back({it.value("service", ""),
                        numberText(it, "tier"),
                        numberText(it, "before"),
                        numberText(it, "during"),
                        numberText(it, "after"),
                        numberText(it, "waiting")});
    }
    if (!rows.empty()) {
        out << "slots that each tier may use:\n"
            << table({"service", "tier", "before", "during", "after", "waiting"}, rows);
    }
}

} // namespace

std::string table(const Row &header, const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(header.size());
    auto all = rows;
    all.insert(all.begin(), header);
    for (const auto &row : all) {
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::string text;
    for (const auto &row : all) {
        text += formatRow(row, widths);
    }
    return text;
}

std::string planText(const Json &plan)
{
    if (!plan.contains("id")) {
        return "nothing to change: the declarations match revision " + numberText(plan, "revision") + "\n";
    }
    std::ostringstream out;
    out << "plan " << plan.value("id", "") << " against revision " << numberText(plan, "base") << ", "
        << plan.value("state", "") << "\n";
    for (const auto &it : plan.value("changes", Json::array())) {
        out << "  " << it.get<std::string>() << "\n";
    }
    addSteps(out, plan);
    addCapacity(out, plan);
    out << "requests in progress on the affected targets: " << numberText(plan, "requestsTouched") << "\n";
    for (const auto &it : plan.value("broken", Json::array())) {
        out << "WOULD BREAK " << it.value("reason", "") << ": " << it.value("detail", "") << "\n"
            << "  confirm only with --override " << it.value("reason", "") << "\n";
    }
    out << "undo: " << plan.value("undo", "") << "\n";
    if (plan.contains("waitsFor")) {
        out << "waits for: " << plan.value("waitsFor", "") << "\n";
    }
    if (!plan.value("outcome", "").empty()) {
        out << "outcome: " << plan.value("outcome", "") << "\n";
    }
    if (plan.value("state", "") == "proposed") {
        out << "to make it take effect: monsoonctl confirm " << plan.value("id", "") << " (until "
            << timeText(plan.value("expiresAt", std::int64_t {0})) << ")\n";
    }
    return out.str();
}

std::string statusText(const Json &status)
{
    std::ostringstream out;
    out << "revision " << numberText(status, "revision")
        << (status.value("storeAnswers", true) ? "" : "; the store does not answer") << "\n";
    std::vector<Row> rows;
    for (const auto &it : status.value("daemons", Json::array())) {
        rows.push_back({it.value("host", ""),
                        it.value("region", ""),
                        it.value("role", ""),
                        it.value("state", ""),
                        it.value("answers", false) ? numberText(it, "revision") : "no answer",
                        it.value("inForce", false) ? "yes" : "not known"});
    }
    out << table({"host", "region", "role", "state", "revision", "in force"}, rows);
    const auto waits = status.value("waits", Json::object());
    for (const auto &it : status.value("plans", Json::array())) {
        const auto id = it.value("plan", "");
        out << "plan " << id << " at step " << numberText(it, "step") << ", executed by " << it.value("holderHost", "");
        const auto wait = waits.value(id, "");
        out << (wait.empty() ? "" : ", waits for " + wait) << "\n";
    }
    if (!status.value("plansKnown", true)) {
        out << "plans in progress are unknown: the store does not answer\n";
    }
    return out.str();
}

std::string logText(const Json &log)
{
    std::vector<Row> rows;
    for (const auto &it : log.value("log", Json::array())) {
        std::string overrides;
        for (const auto &reason : it.value("overrides", Json::array())) {
            overrides += (overrides.empty() ? "" : ",") + reason.get<std::string>();
        }
        rows.push_back({numberText(it, "revision"),
                        timeText(it.value("at", std::int64_t {0})),
                        it.value("who", ""),
                        it.value("plan", ""),
                        overrides.empty() ? "-" : overrides,
                        it.value("what", "")});
    }
    return table({"revision", "time", "who", "plan", "overrides", "what"}, rows);
}

std::string errorText(const Json &response)
{
    std::string text;
    for (const auto &it : response.value("errors", Json::array())) {
        text += it.value("file", "") + ":" + numberText(it, "line") + ": " + it.value("key", "") + ": "
            + it.value("message", "") + "\n";
    }
    if (response.contains("outcome")) {
        text += response.value("outcome", "") + ": ";
    }
    if (response.contains("error")) {
        text += response.value("error", "") + "\n";
    }
    if (response.contains("command")) {
        text += "find out with: " + response.value("command", "") + "\n";
    }
    return text;
}

std::string timeText(std::int64_t milliseconds)
{
    const auto seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf {};
    const auto n = std::strftime(buf.data(), buf.size(), "%F %T", &parts);
    return {buf.data(), n};
}

} // namespace monsoonctl
