#pragma once

#include <optional>
#include <string>

/// @return whether the settings file @p file sets `role = gateway` in the section daemon
bool isGateway(const std::string &file);
/// Runs the gateway with the settings file @p file, or only checks the file. @return the exit code of the process
int runAsGateway(const std::string &file, bool checkOnly);
