#pragma once

#include "monsoonward/dispatch/crashsuspects.h"

namespace monsoonward
{

struct LiveCrash
{
    TimePoint time;
    bool counts = false; // confirmed or old enough
};

using CrashesByTrait = std::map<RequestTrait, std::map<EngineRun, LiveCrash>>;

/// Attributes crashes to as few traits as possible: the trait with the most crashes is a culprit and explains them,
/// then the trait with the most of the remaining ones, and so on. Traits with the same crashes as a culprit can't be
/// told from it and are culprits too.
/// @return the verdict on each trait of @p crashes
std::map<RequestTrait, CrashVerdict> attributeCrashes(CrashesByTrait crashes, TimePoint now);

} // namespace monsoonward
