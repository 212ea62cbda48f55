#pragma once

#include <string>

/// Mutual challenge-response authentication of daemons that share a secret.
namespace monsoonward
{

/// @return 32 random bytes
std::string makeNonce();
/// @return the 32-byte response of the daemon that opened the connection
std::string dialProof(const std::string &secret, const std::string &dialNonce, const std::string &acceptNonce);
/// @return the 32-byte response of the daemon that accepted the connection
std::string acceptProof(const std::string &secret, const std::string &dialNonce, const std::string &acceptNonce);
/// Compares in a time that doesn't depend on where the strings differ, to prevent timing attacks.
bool equalInConstantTime(const std::string &a, const std::string &b);

} // namespace monsoonward
