#include "keyhash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace monsoonward
{

std::string sha256(std::string_view text)
{
    constexpr const char *digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    std::string hex;
    for (const auto it : hash) {
        hex.push_back(digits[it >> 4U]);
        hex.push_back(digits[it & 0xfU]);
    }
    return hex;
}

CustomerKeys::CustomerKeys(ConfigurationPtr configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &customer : m_configuration->customers) {
        for (const auto &hash : customer.keyHashes) {
            m_entries.push_back({hash, &customer});
        }
    }
    std::sort(m_entries.begin(), m_entries.end());
}

const CustomerSpec *CustomerKeys::find(std::string_view key) const
{
    // The binary search may leak timing, but only about hashes, which reveal nothing about other keys.
    const auto hash = sha256(key);
    const auto it = std::lower_bound(
        m_entries.begin(), m_entries.end(), hash, [](const Entry &a, const std::string &b) { return a.hash < b; });
    const std::string none(hash.size(), '0');
    const bool candidate = it != m_entries.end() && it->hash.size() == hash.size();
    const std::string &other = candidate ? it->hash : none;
    const bool equal = CRYPTO_memcmp(other.data(), hash.data(), hash.size()) == 0;
    return candidate && equal ? it->customer : nullptr;
}

} // namespace monsoonward
