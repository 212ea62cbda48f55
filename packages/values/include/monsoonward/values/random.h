#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace monsoonward
{

/// @brief Source of random numbers; seeded in tests and benches.
class Random
{
public:
    virtual ~Random() = default;
    /// @return 64 uniformly distributed bits
    virtual std::uint64_t next() = 0;
    /// @return a number in [0, n), or 0 when n is 0
    std::size_t nextBelow(std::size_t n);
    /// @return a number in [0, 1)
    double nextDouble();
};

/// @brief A repeatable sequence.
class SeededRandom : public Random
{
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// @brief Numbers from the operating system, fit for incarnations and keys.
class SystemRandom : public Random
{
public:
    std::uint64_t next() override;

private:
    std::random_device m_device;
};

} // namespace monsoonward
