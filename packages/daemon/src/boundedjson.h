#pragma once

#include <monsoonward/values/values.h>

#include <nlohmann/json.hpp>

#include <string_view>

namespace monsoonward
{

/// @brief Parses JSON from outside: nesting is counted before anything is built, so that hostile depth costs no stack.
/// @return the value, or Invalid when @p text isn't JSON or is nested deeper than 64
Result<nlohmann::json> parseBoundedJson(std::string_view text);

} // namespace monsoonward
