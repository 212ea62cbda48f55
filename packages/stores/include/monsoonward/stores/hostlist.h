#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <vector>

namespace monsoonward
{

/// @brief A host as the platform lists it; the list may be out of date.
struct ListedHost
{
    HostName name;
    bool leaving = false;
    MONSOONWARD_FIELDS(name, leaving)
};

/// @brief Client of the platform's list of hosts, those that are leaving included.
class HostList
{
public:
    using Callback = std::function<void(Result<std::vector<ListedHost>>)>;

    virtual ~HostList() = default;
    /// Errors: Unavailable.
    virtual void fetch(Callback done) = 0;
};

} // namespace monsoonward
