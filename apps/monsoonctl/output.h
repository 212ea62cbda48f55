#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Text for people.
namespace monsoonctl
{

using Row = std::vector<std::string>;

/// @return columns as wide as their widest cell, two blanks between them
std::string table(const Row &heading, const std::vector<Row> &rows);
std::string planText(const nlohmann::json &plan);
std::string statusText(const nlohmann::json &status);
std::string logText(const nlohmann::json &log);
/// @return the message of an answer that isn't a success, with every error of declarations on a line of its own
std::string errorText(const nlohmann::json &answer);
/// @return UTC, as in 2026-01-31 12:00:00
std::string timeText(std::int64_t milliseconds);

} // namespace monsoonctl
