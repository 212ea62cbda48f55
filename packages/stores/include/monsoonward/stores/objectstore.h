#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <string>

namespace monsoonward
{

/// @brief Client of the platform's object store. Objects are written once under a name of their own and not changed.
class ObjectStore
{
public:
    using GetCallback = std::function<void(Result<std::string>)>;
    using PutCallback = std::function<void(Result<void>)>;

    virtual ~ObjectStore() = default;
    virtual void get(const std::string &name, GetCallback done) = 0;
    virtual void put(const std::string &name, const std::string &bytes, PutCallback done) = 0;
};

} // namespace monsoonward
