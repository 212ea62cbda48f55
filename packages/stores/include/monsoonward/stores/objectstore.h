#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <string>

namespace monsoonward
{

/// @brief Client of the platform's object store. Objects are immutable: each is written once, under a unique name.
class ObjectStore
{
public:
    using GetCallback = std::function<void(Result<std::string>)>;
    using PutCallback = std::function<void(Result<void>)>;

    virtual ~ObjectStore() = default;
    /// Errors: NotFound, Unavailable.
    virtual void get(const std::string &name, GetCallback done) = 0;
    /// Errors: Unavailable (not written), Unknown (may have been written).
    virtual void put(const std::string &name, const std::string &bytes, PutCallback done) = 0;
};

} // namespace monsoonward
