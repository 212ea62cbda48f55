#include "rolloutcodec.h"

#include "reportentries.h"

#include <limits>

namespace monsoonward
{

namespace
{

constexpr std::uint64_t badFlag = 1;
constexpr std::uint64_t stoppedFlag = 2;
constexpr std::size_t headNumbers = 4;
constexpr std::size_t countNumbers = AnswerCounts::bucketCount + 1;
constexpr std::size_t routeNumbers = 1 + 2 * countNumbers;

void append(std::vector<std::uint64_t> &numbers, const AnswerCounts &counts)
{
    numbers.push_back(counts.failures);
    numbers.insert(numbers.end(), counts.times.begin(), counts.times.end());
}

/// @return whether all numbers fit
bool read(const std::uint64_t *numbers, AnswerCounts &counts)
{
    bool fits = numbers[0] <= std::numeric_limits<std::uint32_t>::max();
    counts.failures = static_cast<std::uint32_t>(numbers[0]);
    for (std::size_t it = 0; it < counts.times.size(); ++it) {
        fits = fits && numbers[it + 1] <= std::numeric_limits<std::uint32_t>::max();
        counts.times[it] = static_cast<std::uint32_t>(numbers[it + 1]);
    }
    return fits;
}

} // namespace

std::vector<std::uint64_t> numbersOf(const std::vector<RolloutReport> &reports)
{
    std::vector<std::uint64_t> numbers;
    std::size_t left = maxReportedRoutes;
    for (const auto &report : reports) {
        const auto flags = (report.isBad ? badFlag : 0) | (report.hasStoppedOld ? stoppedFlag : 0);
        auto n = std::min(left, report.routes.size());
        left -= n;
        numbers.insert(numbers.end(), {report.orderId, report.serviceHash, flags, n});
        for (auto it = report.routes.begin(); n > 0; ++it, --n) {
            numbers.push_back(it->first);
            append(numbers, it->second.newVersion);
            append(numbers, it->second.oldVersion);
        }
    }
    return numbers;
}

std::optional<std::vector<RolloutReport>> rolloutReports(const std::vector<std::uint64_t> &numbers)
{
    std::vector<RolloutReport> reports;
    std::size_t at = 0;
    while (at < numbers.size()) {
        if (numbers.size() - at < headNumbers) {
            return std::nullopt;
        }
        const auto flags = numbers[at + 2];
        const auto routes = numbers[at + 3];
        RolloutReport report {numbers[at], numbers[at + 1], (flags & badFlag) != 0, (flags & stoppedFlag) != 0, {}};
        at += headNumbers;
        if (routes > (numbers.size() - at) / routeNumbers) {
            return std::nullopt;
        }
        for (std::uint64_t n = 0; n < routes; ++n, at += routeNumbers) {
            auto &counts = report.routes[numbers[at]];
            if (!read(&numbers[at + 1], counts.newVersion)
                || !read(&numbers[at + 1 + countNumbers], counts.oldVersion)) {
                return std::nullopt;
            }
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

NumberListEntry rolloutsEntry()
{
    return {"ro",
            [](const LoadReport &report) { return numbersOf(report.rollouts); },
            [](const NumberList &numbers, LoadReport &report) {
                auto rollouts = rolloutReports(numbers);
                if (!rollouts) {
                    return false;
                }
                report.rollouts = std::move(*rollouts);
                return true;
            }};
}

} // namespace monsoonward
