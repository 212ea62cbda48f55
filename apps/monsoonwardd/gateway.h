#pragma once

#include <optional>
#include <string>

/// @return whether the settings file declares the role of a gateway
bool isGateway(const std::string &file);
/// Runs the gateway, or only checks its settings. @return the exit code
int runAsGateway(const std::string &file, bool checkOnly);
