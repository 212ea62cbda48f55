#include "report.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>

namespace load
{

namespace
{

double milliseconds(monsoonward::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto n = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(n, values.size() - 1)];
}

void printClass(std::ostream &out, const ClassReport &report, double seconds)
{
    unsigned completed = 0;
    unsigned inTime = 0;
    std::vector<double> latencies;
    std::map<std::string, unsigned> otherOutcomes;
    for (const auto &it : report.samples) {
        if (it.answerCorrect) {
            ++completed;
            inTime += it.inTime ? 1 : 0;
            latencies.push_back(milliseconds(it.latency));
        } else {
            ++otherOutcomes[it.reason.empty() ? "status-" + std::to_string(it.status) : it.reason + "/" + it.verdict];
        }
    }
    out << std::left << std::setw(16) << report.name << std::setw(6) << report.tier << std::right << std::setw(8)
        << report.samples.size() << std::setw(11) << completed << std::setw(9) << inTime << std::fixed
        << std::setprecision(2) << std::setw(11) << quantile(latencies, 0.5) << std::setw(11)
        << quantile(latencies, 0.99) << std::setw(11) << completed / seconds << " ";
    for (const auto &[reason, n] : otherOutcomes) {
        out << " " << reason << "=" << n;
    }
    out << "\n";
}

} // namespace

void printReport(std::ostream &out, const std::vector<ClassReport> &reports, double seconds)
{
    out << "class           tier      sent  completed  in time     p50 ms     p99 ms  answers/s  refused\n";
    for (const auto &it : reports) {
        printClass(out, it, seconds);
    }
}

void writeRecord(std::ostream &out, const std::vector<ClassReport> &reports)
{
    const auto orDash = [](const std::string &text) { return text.empty() ? std::string("-") : text; };
    for (const auto &report : reports) {
        for (const auto &it : report.samples) {
            out << orDash(it.requestId) << " " << it.status << " " << orDash(it.verdict) << "\n";
        }
    }
}

bool allAnswersCorrect(const std::vector<ClassReport> &reports)
{
    return std::all_of(reports.begin(), reports.end(), [](const ClassReport &report) {
        return std::all_of(report.samples.begin(), report.samples.end(), [](const Sample &it) {
            return it.status != 200 || it.answerCorrect;
        });
    });
}

} // namespace load
