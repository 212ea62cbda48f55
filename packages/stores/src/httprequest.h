#pragma once

#include "monsoonward/stores/httpworkers.h"

namespace monsoonward
{

/// Makes one call over a new connection and waits for the response, at most until @p deadline.
/// @return the response, Unavailable (the call was not sent) or Unknown (it may have taken effect)
Result<HttpResponse> executeHttp(const HttpCall &call, const Clock &clock, TimePoint deadline);

} // namespace monsoonward
