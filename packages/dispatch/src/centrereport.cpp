#include "monsoonward/dispatch/centrereport.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

template<class Key, class Number>
void addAll(std::map<Key, Number> &sums, const std::map<Key, Number> &others)
{
    for (const auto &[key, n] : others) {
        sums[key] += n;
    }
}

template<class Key, class Number>
void subtractAll(std::map<Key, Number> &sums, const std::map<Key, Number> &others)
{
    for (const auto &[key, n] : others) {
        const auto it = sums.find(key);
        if (it == sums.end()) {
            continue;
        }
        if (it->second <= n) {
            sums.erase(it);
        } else {
            it->second -= n;
        }
    }
}

} // namespace

EngineKey keyOf(const EngineName &engine)
{
    return static_cast<EngineKey>(hashOf(engine.text()) & 0xffffffffU);
}

void ReportSums::add(const LoadReport &report)
{
    for (const auto &[engine, n] : report.requests) {
        requests[keyOf(engine)] += n;
    }
    for (const auto &it : report.leavingEngines) {
        ++leaving[keyOf(it)];
    }
    addAll(demand, report.demand);
}

void ReportSums::add(const ReportSums &other)
{
    addAll(requests, other.requests);
    addAll(leaving, other.leaving);
    addAll(demand, other.demand);
}

void ReportSums::subtract(const ReportSums &other)
{
    subtractAll(requests, other.requests);
    subtractAll(leaving, other.leaving);
    subtractAll(demand, other.demand);
}

StoreKnowledge newest(const StoreKnowledge &first, const StoreKnowledge &second)
{
    if (first.era != second.era) {
        return first.era > second.era ? first : second;
    }
    auto merged = first.revision >= second.revision ? first : second;
    if (first.revision == second.revision) {
        merged.provenAtMs = std::max(first.provenAtMs, second.provenAtMs);
    }
    merged.engineVersion = std::max(first.engineVersion, second.engineVersion);
    merged.gatewayVersion = std::max(first.gatewayVersion, second.gatewayVersion);
    return merged;
}

} // namespace monsoonward
