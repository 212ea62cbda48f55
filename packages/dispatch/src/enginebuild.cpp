#include "monsoonward/dispatch/enginebuild.h"

#include <xxhash.h>

namespace monsoonward
{

EngineBuild buildOf(const EngineRecord &engine)
{
    const auto &service = engine.service.text();
    const auto &version = engine.softwareVersion;
    return XXH3_64bits_withSeed(version.data(), version.size(), XXH3_64bits(service.data(), service.size()));
}

} // namespace monsoonward
