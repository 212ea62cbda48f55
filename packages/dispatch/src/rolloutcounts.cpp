#include "monsoonward/dispatch/rolloutcounts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace monsoonward
{

std::size_t AnswerCounts::bucketOf(Duration time)
{
    const auto milliseconds = std::chrono::duration<double, std::milli>(time).count();
    if (milliseconds <= 1) {
        return 0;
    }
    return std::min(bucketCount - 1, static_cast<std::size_t>(std::log2(milliseconds) * 2));
}

std::uint32_t AnswerCounts::good() const
{
    return from(0);
}

std::uint32_t AnswerCounts::all() const
{
    return failures + good();
}

std::uint32_t AnswerCounts::from(std::size_t bucket) const
{
    const auto first = times.begin() + static_cast<std::ptrdiff_t>(std::min(bucket, bucketCount));
    return std::accumulate(first, times.end(), std::uint32_t {0});
}

std::size_t AnswerCounts::bucketAbove(double quantile) const
{
    const auto n = static_cast<double>(good());
    double sum = 0;
    for (std::size_t it = 0; n > 0 && it < bucketCount; ++it) {
        sum += times[it];
        if (sum >= n * quantile) {
            return it + 1;
        }
    }
    return bucketCount;
}

void AnswerCounts::add(const AnswerCounts &other)
{
    failures += other.failures;
    std::transform(times.begin(), times.end(), other.times.begin(), times.begin(), std::plus<>());
}

AnswerCounts AnswerCounts::since(const AnswerCounts &former) const
{
    const bool isReset = failures < former.failures
        || !std::equal(times.begin(), times.end(), former.times.begin(), std::greater_equal<>());
    if (isReset) {
        return *this;
    }
    AnswerCounts added;
    added.failures = failures - former.failures;
    std::transform(times.begin(), times.end(), former.times.begin(), added.times.begin(), std::minus<>());
    return added;
}

void AnswerCounts::decay(double factor)
{
    const auto reduced = [&](std::uint32_t n) { return static_cast<std::uint32_t>(std::lround(n * factor)); };
    failures = reduced(failures);
    std::transform(times.begin(), times.end(), times.begin(), reduced);
}

} // namespace monsoonward
