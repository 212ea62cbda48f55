#include "reportentries.h"

#include <cmath>
#include <limits>

namespace monsoonward
{

namespace
{

constexpr double limitUnitsPerRequest = 1000; // a limit is sent as thousandths plus one; 0: no limit any more
constexpr std::size_t limitNumbers = 3;

NumberList limitNumbersOf(const LoadReport &report)
{
    NumberList numbers;
    for (const auto &it : report.limits) {
        const auto limit =
            it.perSecond ? static_cast<std::uint64_t>(std::llround(*it.perSecond * limitUnitsPerRequest)) + 1 : 0;
        numbers.insert(numbers.end(), {it.run, millisecondsOf(it.age), limit});
    }
    return numbers;
}

bool readLimits(const NumberList &numbers, LoadReport &report)
{
    if (numbers.size() % limitNumbers != 0) {
        return false;
    }
    for (auto it = numbers.begin(); it != numbers.end(); it += limitNumbers) {
        const auto limit = static_cast<double>(it[2]) - 1;
        const auto age = durationOf(it[1]);
        if (!age || limit > EngineLimits::maxPerSecond * limitUnitsPerRequest) {
            return false;
        }
        report.limits.push_back(
            {it[0], limit < 0 ? std::nullopt : std::optional<double>(limit / limitUnitsPerRequest), *age});
    }
    return true;
}

NamedNumbers demandNumbersOf(const LoadReport &report)
{
    NamedNumbers numbers;
    for (const auto &[service, perSecond] : report.serviceDemand) {
        numbers[service.text()] = static_cast<std::uint64_t>(perSecond * limitUnitsPerRequest);
    }
    return numbers;
}

bool readDemand(const NamedNumbers &numbers, LoadReport &report)
{
    for (const auto &[service, n] : numbers) {
        if (n > std::numeric_limits<std::uint32_t>::max()) {
            return false;
        }
        report.serviceDemand[ServiceName(service)] = static_cast<double>(n) / limitUnitsPerRequest;
    }
    return true;
}

} // namespace

NumberListEntry limitsEntry()
{
    return {"m", limitNumbersOf, readLimits};
}

NamedNumbersEntry serviceDemandEntry()
{
    return {"w", demandNumbersOf, readDemand};
}

} // namespace monsoonward
