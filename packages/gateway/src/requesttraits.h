#pragma once

#include <monsoonward/callers/callers.h>
#include <monsoonward/dispatch/dispatch.h>

#include <string_view>
#include <vector>

namespace monsoonward
{

/// @param promptParts as "ID:tokens,ID:tokens"
/// @param customer of the request; empty if it needs none
/// @return what the request may have in common with others: the request as a whole, and each part of its prompt except
/// the last, which belongs to the request alone
std::vector<RequestTrait>
traitsOf(const CallerRequest &request, std::string_view promptParts, std::string_view customer);

} // namespace monsoonward
