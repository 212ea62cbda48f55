#pragma once

#include "monsoonward/control/declarations.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

/// Parses the files of a declaration's body. An entry whose declaration doesn't name its state keeps the one in @p
/// base, so that declaring the files again doesn't return a host that was drained.
/// @throws nlohmann::json::exception when the body has another shape
DeclarationResult declaredConfiguration(const nlohmann::json &body, const Configuration &base);

} // namespace monsoonward
