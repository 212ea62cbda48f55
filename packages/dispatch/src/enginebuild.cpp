#include "monsoonward/dispatch/enginebuild.h"

#include "monsoonward/dispatch/texthash.h"

namespace monsoonward
{

EngineBuild buildOf(const EngineRecord &engine)
{
    return hashOf(engine.softwareVersion, hashOf(engine.service.text()));
}

} // namespace monsoonward
