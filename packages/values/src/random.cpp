#include "monsoonward/values/random.h"

namespace monsoonward
{

std::size_t Random::nextBelow(std::size_t n)
{
    return n == 0 ? 0 : static_cast<std::size_t>(next() % n);
}

double Random::nextDouble()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2 to the power of -53
    return static_cast<double>(next() >> 11U) * scale;
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

std::uint64_t SystemRandom::next()
{
    const std::uint64_t high = m_device();
    return (high << 32U) | m_device();
}

} // namespace monsoonward
