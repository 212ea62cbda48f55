#include "reportentries.h"

#include <limits>

namespace monsoonward
{

const std::vector<NumberListEntry> &numberListEntries()
{
    static const std::vector<NumberListEntry> entries {crashesEntry(), soundEntry(), limitsEntry(), rolloutsEntry()};
    return entries;
}

const std::vector<NamedNumbersEntry> &namedNumbersEntries()
{
    static const std::vector<NamedNumbersEntry> entries {serviceDemandEntry()};
    return entries;
}

std::uint64_t millisecondsOf(Duration age)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
}

std::optional<Duration> durationOf(std::uint64_t milliseconds)
{
    constexpr auto max = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 1'000'000);
    return milliseconds > max ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

} // namespace monsoonward
