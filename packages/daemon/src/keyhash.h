#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <string_view>

namespace monsoonward
{

/// @return SHA-256 of @p text, 64 lower-case hexadecimal digits
std::string sha256(std::string_view text);

/// @brief Finds customers by their keys. Keys are compared by hash, and hashes in constant time.
class CustomerKeys
{
public:
    explicit CustomerKeys(ConfigurationPtr configuration);
    /// @return the customer whose key this is, or null
    const CustomerSpec *find(std::string_view key) const;

private:
    struct Entry
    {
        std::string hash;
        const CustomerSpec *customer = nullptr;
        MONSOONWARD_FIELDS(hash, customer)
    };

    ConfigurationPtr m_configuration;
    std::vector<Entry> m_entries; // sorted by hash
};

} // namespace monsoonward
