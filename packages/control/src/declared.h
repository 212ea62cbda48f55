#pragma once

#include "monsoonward/control/declarations.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

/// Parses the files in the body of a declare request. Hosts and targets without the key "state" keep their state from
/// @p base, so that declaring the same files again does not return a drained host to service.
/// @throws nlohmann::json::exception if the body does not have the expected structure
DeclarationResult parseDeclareRequest(const nlohmann::json &body, const Configuration &base);

} // namespace monsoonward
