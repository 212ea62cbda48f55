#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <vector>

namespace monsoonward
{

/// @brief What the platform says of a host; it lags.
struct ListedHost
{
    HostName name;
    bool leaving = false;
    MONSOONWARD_FIELDS(name, leaving)
};

/// @brief Client of the platform's list of live and leaving hosts.
class HostList
{
public:
    using Callback = std::function<void(Result<std::vector<ListedHost>>)>;

    virtual ~HostList() = default;
    virtual void fetch(Callback done) = 0;
};

} // namespace monsoonward
