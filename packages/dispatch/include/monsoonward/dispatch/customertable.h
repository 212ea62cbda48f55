#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <string_view>
#include <vector>

namespace monsoonward
{

/// @brief Finds the customer of a key. The time that a look-up takes doesn't tell how much of a key was right: keys are
/// found by a seeded hash, and the candidate is compared in full.
class CustomerTable
{
public:
    /// @param seed of the hash; random for each process
    CustomerTable(ServingConfigurationPtr configuration, std::uint64_t seed);

    /// @return the customer, or null
    const CustomerConfiguration *find(std::string_view key) const;
    /// @return whether requests need a key at all
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
