#include "authentication.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace monsoonward
{

namespace
{

constexpr std::size_t nonceBytes = 32;
constexpr std::size_t proofBytes = 32;

std::string
hmac(const std::string &secret, const std::string &label, const std::string &first, const std::string &second)
{
    const std::string text = label + first + second;
    std::string digest(proofBytes, '\0');
    unsigned length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         reinterpret_cast<unsigned char *>(digest.data()),
         &length);
    return digest;
}

} // namespace

std::string makeNonce()
{
    std::string nonce(nonceBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("OpenSSL has no random bytes for an authentication nonce");
    }
    return nonce;
}

std::string dialProof(const std::string &secret, const std::string &dialNonce, const std::string &acceptNonce)
{
    return hmac(secret, "monsoonward dial ", dialNonce, acceptNonce);
}

std::string acceptProof(const std::string &secret, const std::string &dialNonce, const std::string &acceptNonce)
{
    return hmac(secret, "monsoonward accept ", dialNonce, acceptNonce);
}

bool equalInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace monsoonward
