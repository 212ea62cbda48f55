#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <string_view>
#include <vector>

namespace monsoonward
{

/// @brief Finds the customer that a key belongs to. Lookups don't leak by their timing how much of a key was correct:
/// keys are found by a seeded hash, and a candidate is compared in constant time.
class CustomerTable
{
public:
    /// @param seed seed of the hash function; random for each process
    CustomerTable(ServingConfigurationPtr configuration, std::uint64_t seed);

    /// @return the customer, or null
    const CustomerConfiguration *find(std::string_view key) const;
    /// @return whether requests need a key; false if the configuration has no list of customers
    bool requiresKey() const;

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        const std::string *key = nullptr;
        const CustomerConfiguration *customer = nullptr;
    };

    ServingConfigurationPtr m_configuration;
    std::uint64_t m_seed;
    std::vector<Entry> m_entries; // sorted by hash
};

} // namespace monsoonward
