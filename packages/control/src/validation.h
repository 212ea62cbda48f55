#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A reference or a value that doesn't hold within a configuration.
struct ConfigurationFault
{
    std::string kind; ///< of the section, such as "target"
    std::string name;
    std::string key;
    std::string message;
};

/// @return every fault of @p configuration, whose lists are sorted
std::vector<ConfigurationFault> validate(const Configuration &configuration);

} // namespace monsoonward
