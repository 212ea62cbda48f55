#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <vector>

namespace monsoonward
{

/// @brief A centre report on its way.
struct CentreMessage
{
    CentreReport report;
    bool shouldForward = false; ///< the receiver passes it on within its data centre
    MONSOONWARD_FIELDS(report, shouldForward)
};

/// @return whether the datagram is a centre report, not another kind of message between gateways
bool isCentreMessage(const std::uint8_t *bytes, std::size_t size);
std::vector<std::uint8_t> encodeCentreMessage(const CentreMessage &message);
/// Errors: Invalid.
Result<CentreMessage> decodeCentreMessage(const std::uint8_t *bytes, std::size_t size);

} // namespace monsoonward
