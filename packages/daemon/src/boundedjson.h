#pragma once

#include <monsoonward/values/values.h>

#include <nlohmann/json.hpp>

#include <string_view>

namespace monsoonward
{

/// @brief Parses untrusted JSON. The nesting depth is checked before parsing, so that deep input can't exhaust the
/// stack.
/// @return the value, or Invalid if @p text isn't valid JSON or is nested deeper than 64 levels
Result<nlohmann::json> parseBoundedJson(std::string_view text);

} // namespace monsoonward
