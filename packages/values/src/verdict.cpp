#include "monsoonward/values/verdict.h"

namespace monsoonward
{

std::string textOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Completed:
        return "completed";
    }
    return "may-have-run";
}

std::string textOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Shed:
        return "shed";
    case RefusalReason::DeadlineUnreachable:
        return "deadline-unreachable";
    case RefusalReason::DeadlineImpossible:
        return "deadline-impossible";
    case RefusalReason::Expired:
        return "expired";
    case RefusalReason::CustomerLimit:
        return "customer-limit";
    case RefusalReason::SuspectedCrash:
        return "suspected-crash";
    case RefusalReason::DuplicateKey:
        return "duplicate-key";
    case RefusalReason::StoreUnavailable:
        return "store-unavailable";
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::CallerGone:
        return "caller-gone";
    case RefusalReason::TargetLost:
        return "target-lost";
    case RefusalReason::EngineFailed:
        return "engine-failed";
    case RefusalReason::Internal:
        return "internal";
    }
    return "internal";
}

bool isShed(RefusalReason reason)
{
    return reason == RefusalReason::Shed || reason == RefusalReason::DeadlineUnreachable;
}

} // namespace monsoonward
