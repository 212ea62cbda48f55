#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief An undeclared reference or an invalid value in a configuration.
struct ConfigurationFault
{
    std::string kind; ///< section kind, such as "target"
    std::string name;
    std::string key;
    std::string message;
};

/// @return all faults of @p configuration. Its lists must be sorted.
std::vector<ConfigurationFault> validate(const Configuration &configuration);

} // namespace monsoonward
