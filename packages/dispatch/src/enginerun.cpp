#include "monsoonward/dispatch/enginerun.h"

#include <xxhash.h>

namespace monsoonward
{

EngineRun runOf(const EngineRecord &engine)
{
    const auto &name = engine.name.text();
    return XXH3_64bits_withSeed(name.data(), name.size(), engine.incarnation);
}

} // namespace monsoonward
