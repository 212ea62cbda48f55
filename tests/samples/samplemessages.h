#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A message and the name of its type.
struct SampleMessage
{
    std::string kind;
    Message message;
};

/// @return one message of each type, with realistic contents
std::vector<SampleMessage> sampleMessages();

} // namespace monsoonward
