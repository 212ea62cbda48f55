#include "monsoonward/dispatch/enginerun.h"

#include "monsoonward/dispatch/texthash.h"

namespace monsoonward
{

EngineRun runOf(const EngineRecord &engine)
{
    const auto &name = engine.name.text();
    return hashOf(name, engine.incarnation);
}

} // namespace monsoonward
