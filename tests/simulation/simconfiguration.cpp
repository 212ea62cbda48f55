#include "simconfiguration.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

template<class Spec>
void sortByName(std::vector<Spec> &list)
{
    std::sort(list.begin(), list.end(), [](const Spec &a, const Spec &b) { return a.name < b.name; });
}

HostSpec hostSpec(const std::string &host, unsigned region)
{
    HostSpec spec;
    spec.name = HostName {host};
    spec.dataCentre = DataCentreName {"data-centre-" + std::to_string(region + 1)};
    spec.role = host.rfind("entry", 0) == 0 ? HostRole::Entry : HostRole::Target;
    return spec;
}

void addTarget(Configuration &configuration, const FleetShape &shape, const std::string &host)
{
    TargetSpec target;
    target.name = TargetName {host};
    target.host = HostName {host};
    target.service = ServiceName {"service-1"};
    target.checksFencing = shape.checksFencing;
    configuration.targets.push_back(target);
    for (unsigned n = 1; n <= shape.enginesPerTarget; ++n) {
        EngineSpec engine;
        engine.name = EngineName {host + ".engine-" + std::to_string(n)};
        engine.target = target.name;
        engine.generation = "generation-1";
        engine.maxBatch = shape.slots;
        engine.cacheTokens = 100000;
        configuration.engines.push_back(engine);
    }
}

} // namespace

Configuration makeConfiguration(const FleetShape &shape, const std::map<std::string, unsigned> &regions)
{
    Configuration configuration;
    configuration.revision = 1;
    std::vector<Tier> tiers;
    for (unsigned n = 0; n < shape.regions; ++n) {
        const RegionName region {"region-" + std::to_string(n + 1)};
        configuration.regions.push_back({region});
        configuration.dataCentres.push_back({DataCentreName {"data-centre-" + std::to_string(n + 1)}, region});
    }
    for (unsigned n = 0; n < shape.tiers; ++n) {
        tiers.emplace_back(n);
        configuration.tiers.push_back({Tier {n}, "tier-" + std::to_string(n), std::chrono::seconds(30)});
    }
    ServiceSpec service;
    service.name = ServiceName {"service-1"};
    service.model = ModelName {"model-1"};
    configuration.services.push_back(service);
    for (unsigned n = 1; n <= shape.customers; ++n) {
        CustomerSpec customer;
        customer.name = CustomerName {"customer-" + std::to_string(n)};
        customer.tiers = tiers;
        configuration.customers.push_back(customer);
    }
    for (const auto &[host, region] : regions) {
        configuration.hosts.push_back(hostSpec(host, region));
        if (configuration.hosts.back().role == HostRole::Target) {
            addTarget(configuration, shape, host);
        }
    }
    sortByName(configuration.hosts);
    sortByName(configuration.targets);
    sortByName(configuration.engines);
    sortByName(configuration.customers);
    return configuration;
}

} // namespace monsoonward
