#pragma once

#include "monsoonward/control/controlnode.h"

namespace monsoonward
{

/// @brief An authenticated operator and their rights.
struct OperatorIdentity
{
    std::string name;
    std::vector<OperatorRight> rights;
    MONSOONWARD_FIELDS(name, rights)
};

/// @return the SHA-256 hash of @p text as 64 lower-case hexadecimal digits
std::string sha256(const std::string &text);

/// Compares the hash of the token with that of every operator, in a time that does not depend on which one matches. The
/// bootstrap token is valid only while no operator is configured.
/// @return the operator. Errors: Denied.
Result<OperatorIdentity>
authenticate(const std::string &token, const ConfigurationPtr &configuration, const std::string &bootstrapTokenHash);

bool hasRight(const OperatorIdentity &identity, OperatorRight right);

} // namespace monsoonward
