#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonward
{

/// @return a hash of the text and the seed that is the same in all daemons
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @return a number from 0 to below 1 that depends on the hash, uniformly distributed over hashes
double uniformOf(std::uint64_t hash);

} // namespace monsoonward
