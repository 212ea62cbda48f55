#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Formats the daemon's responses for reading.
namespace monsoonctl
{

using Row = std::vector<std::string>;

/// @return a table with columns as wide as their widest cell and two spaces between them
std::string table(const Row &header, const std::vector<Row> &rows);
std::string planText(const nlohmann::json &plan);
std::string statusText(const nlohmann::json &status);
std::string logText(const nlohmann::json &log);
/// @return the error message of an unsuccessful response; each error in declarations is on a line of its own
std::string errorText(const nlohmann::json &response);
/// @param milliseconds since the Unix epoch
/// @return the time in UTC, such as 2026-01-31 12:00:00
std::string timeText(std::int64_t milliseconds);

} // namespace monsoonctl
