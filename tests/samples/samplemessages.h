#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief One message and the name of its kind.
struct SampleMessage
{
    std::string kind;
    Message message;
};

/// @return one message of each kind, with realistic contents
std::vector<SampleMessage> sampleMessages();

} // namespace monsoonward
