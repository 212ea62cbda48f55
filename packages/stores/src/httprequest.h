#pragma once

#include "monsoonward/stores/httpworkers.h"

namespace monsoonward
{

/// Makes one call on a connection of its own and waits for the answer, until @p deadline at most.
/// @return the answer, Unavailable (the call was not sent) or Unknown (it may have taken effect)
Result<HttpResponse> executeHttp(const HttpCall &call, const Clock &clock, TimePoint deadline);

} // namespace monsoonward
