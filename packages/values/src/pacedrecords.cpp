#include "monsoonward/values/pacedrecords.h"

#include <utility>

namespace monsoonward
{

std::optional<std::uint64_t> PacedRecords::add(const std::string &reason, TimePoint now)
{
    auto &it = m_events[reason];
    ++it.count;
    if (it.recordedAt && now - *it.recordedAt < interval) {
        return std::nullopt;
    }
    it.recordedAt = now;
    return std::exchange(it.count, 0);
}

} // namespace monsoonward
