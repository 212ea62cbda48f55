#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <string_view>

namespace monsoonward
{

/// @return the SHA-256 of @p text as 64 lower-case hexadecimal digits
std::string sha256(std::string_view text);

/// @brief Finds customers by API key. Only hashes of keys are stored; the final comparison takes constant time.
class CustomerKeys
{
public:
    explicit CustomerKeys(ConfigurationPtr configuration);
    /// @return the customer that @p key belongs to, or null
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
