#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <vector>

namespace monsoonward
{

/// @return the report as MessagePack
std::vector<std::uint8_t> encodeReport(const LoadReport &report);
/// Errors: Invalid.
Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size);

} // namespace monsoonward
