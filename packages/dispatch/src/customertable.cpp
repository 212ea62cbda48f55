#include "monsoonward/dispatch/customertable.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

/// Compares in a time that depends only on the sizes.
bool equalInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
    }
    return difference == 0;
}

} // namespace

CustomerTable::CustomerTable(ServingConfigurationPtr configuration, std::uint64_t seed)
    : m_configuration(std::move(configuration))
    , m_seed(seed)
{
    for (const auto &customer : m_configuration->customers) {
        for (const auto &it : customer.keys) {
            m_entries.push_back({hashOf(it, m_seed), &it, &customer});
        }
    }
    std::sort(m_entries.begin(), m_entries.end(), [](const Entry &a, const Entry &b) { return a.hash < b.hash; });
}

const CustomerConfiguration *CustomerTable::find(std::string_view key) const
{
    const auto hash = hashOf(key, m_seed);
    auto it = std::lower_bound(
        m_entries.begin(), m_entries.end(), hash, [](const Entry &a, std::uint64_t b) { return a.hash < b; });
    for (; it != m_entries.end() && it->hash == hash; ++it) {
        if (equalInConstantTime(*it->key, key)) {
            return it->customer;
        }
    }
    return nullptr;
}

bool CustomerTable::requiresKey() const
{
    return m_configuration->hasCustomerList || !m_configuration->customers.empty();
}

} // namespace monsoonward
