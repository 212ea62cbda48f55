#include "monsoonward/dispatch/texthash.h"

#include <xxhash.h>

namespace monsoonward
{

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double uniformOf(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

} // namespace monsoonward
