#pragma once

#include <monsoonward/values/values.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace monsoonward
{

/// @return the text that an engine has to prefill: the prompt, or all messages in order
std::string promptText(const nlohmann::json &body);
/// @return hashes of the prompt's prefixes whose length is a multiple of 1024 bytes, shortest first; at most 64
std::vector<PrefixHash> prefixHashes(const ServiceName &service, std::string_view prompt);
Fingerprint requestFingerprint(const CustomerName &customer, const ServiceName &service, std::string_view body);

} // namespace monsoonward
