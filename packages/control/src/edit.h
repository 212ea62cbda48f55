#pragma once

#include "records.h"

namespace monsoonward
{

/// Applies @p edit to @p configuration. An edit that already holds changes nothing. Errors: NotFound, Invalid.
Result<void> applyEdit(Configuration &configuration, const Edit &edit);

/// @return what @p edits change in @p base; empty when all of them hold already. Errors: NotFound, Invalid (also when
/// the configuration after them would be invalid).
Result<ConfigurationChange> changeOf(const Configuration &base, const std::vector<Edit> &edits);

/// @return an edit that applies @p change
Edit editOf(const ConfigurationChange &change);

std::string toHex(const std::string &bytes);
/// @return the bytes, or Invalid
Result<std::string> fromHex(const std::string &text);

} // namespace monsoonward
