#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace monsoonward
{

/// @brief Interface of random number generators, so that tests and benchmarks can use a fixed seed.
class Random
{
public:
    virtual ~Random() = default;
    /// @return 64 uniformly distributed bits
    virtual std::uint64_t next() = 0;
    /// @return an integer in [0, @p n), or 0 when @p n is 0
    std::size_t nextBelow(std::size_t n);
    /// @return a floating-point number in [0, 1)
    double nextDouble();
};

/// @brief Pseudo-random generator (mt19937_64): the same seed gives the same sequence.
class SeededRandom : public Random
{
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// @brief Random numbers from the operating system, suitable for incarnations and keys.
class SystemRandom : public Random
{
public:
    std::uint64_t next() override;

private:
    std::random_device m_device;
};

} // namespace monsoonward
