#pragma once

#include "records.h"

namespace monsoonward
{

/// Applies @p edit to @p configuration. Applying an edit that is already in effect changes nothing. Errors: NotFound,
/// Invalid.
Result<void> applyEdit(Configuration &configuration, const Edit &edit);

/// @return the change that @p edits make to @p base; empty if all are already in effect. Errors: NotFound, Invalid
/// (also if the resulting configuration would be invalid).
Result<ConfigurationChange> changeOf(const Configuration &base, const std::vector<Edit> &edits);

/// @return an edit that applies @p change
Edit editOf(const ConfigurationChange &change);

std::string toHex(const std::string &bytes);
/// @return the decoded bytes. Errors: Invalid.
Result<std::string> fromHex(const std::string &text);

} // namespace monsoonward
