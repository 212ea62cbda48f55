#pragma once

#include <string>

/// Challenge and response between daemons that share a secret.
namespace monsoonward
{

/// @return 32 random bytes
std::string makeNonce();
/// @return proof of the dialling daemon, 32 bytes
std::string dialProof(const std::string &secret, const std::string &dialNonce, const std::string &acceptNonce);
/// @return proof of the accepting daemon, 32 bytes
std::string acceptProof(const std::string &secret, const std::string &dialNonce, const std::string &acceptNonce);
/// @return whether both are equal; takes the same time wherever they differ
bool equalInConstantTime(const std::string &a, const std::string &b);

} // namespace monsoonward
