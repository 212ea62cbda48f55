#pragma once

#include "monsoonward/control/controlnode.h"

namespace monsoonward
{

/// @brief Who calls, and with which rights.
struct OperatorIdentity
{
    std::string name;
    std::vector<OperatorRight> rights;
    MONSOONWARD_FIELDS(name, rights)
};

/// @return SHA-256 of @p text in 64 hexadecimal digits
std::string sha256(const std::string &text);

/// Compares the token's hash with every operator's, in a time that doesn't depend on which matches. The bootstrap token
/// counts while no operator is configured.
/// @return the operator, or Denied
Result<OperatorIdentity>
authenticate(const std::string &token, const ConfigurationPtr &configuration, const std::string &bootstrapTokenHash);

bool hasRight(const OperatorIdentity &identity, OperatorRight right);

} // namespace monsoonward
