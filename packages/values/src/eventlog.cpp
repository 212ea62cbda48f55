#include "monsoonward/values/eventlog.h"

namespace monsoonward
{

void NullEventLog::record(Event /*event*/, Severity /*severity*/, const std::string & /*text*/)
{
}

} // namespace monsoonward
