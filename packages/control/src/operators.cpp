#include "operators.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace monsoonward
{

namespace
{

bool isSameHash(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string sha256(const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + length, std::back_inserter(hex));
    return hex;
}

Result<OperatorIdentity>
authenticate(const std::string &token, const ConfigurationPtr &configuration, const std::string &bootstrapTokenHash)
{
    const auto hash = sha256(token);
    const bool hasOperators = configuration && !configuration->operators.empty();
    if (!hasOperators) {
        const bool matches = !token.empty() && isSameHash(hash, bootstrapTokenHash);
        if (matches) {
            return OperatorIdentity {"bootstrap", {OperatorRight::Read, OperatorRight::Plan, OperatorRight::Confirm}};
        }
        return Error {ErrorCode::Denied, "unknown token; no operator is declared yet"};
    }
    const OperatorSpec *found = nullptr;
    for (const auto &it : configuration->operators) {
        found = isSameHash(hash, it.tokenHash) ? &it : found;
    }
    if (found == nullptr) {
        return Error {ErrorCode::Denied, "unknown token"};
    }
    return OperatorIdentity {found->name, found->rights};
}

bool hasRight(const OperatorIdentity &identity, OperatorRight right)
{
    return std::find(identity.rights.begin(), identity.rights.end(), right) != identity.rights.end();
}

} // namespace monsoonward
