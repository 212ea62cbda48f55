#include "sampleconfiguration.h"

namespace monsoonward
{

namespace
{

/// @return a name such as "prefix-00042"; the leading zeros make names sort by number
std::string numbered(const std::string &prefix, unsigned n)
{
    constexpr std::size_t digits = 5;
    const auto text = std::to_string(n);
    return prefix + "-" + std::string(digits - std::min(digits, text.size()), '0') + text;
}

HostSpec sampleHost(const std::string &prefix, unsigned n, HostRole role, unsigned dataCentres)
{
    constexpr unsigned firstPort = 20000;
    HostSpec host;
    host.name = HostName {numbered(prefix, n)};
    host.dataCentre = DataCentreName {numbered("centre", n % dataCentres)};
    host.role = role;
    host.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + n)};
    host.adminAddress = {"127.0.0.1", static_cast<std::uint16_t>(2 * firstPort + n)};
    return host;
}

void addHosts(Configuration &configuration, const ConfigurationSize &size)
{
    for (unsigned n = 0; n < size.entries; ++n) {
        configuration.hosts.push_back(sampleHost("entry", n, HostRole::Entry, size.dataCentres));
    }
    for (unsigned n = 0; n < size.targetHosts; ++n) {
        configuration.hosts.push_back(sampleHost("host", n, HostRole::Target, size.dataCentres));
    }
}

/// Adds one target for each target host; services and engines are assigned round-robin.
void addTargets(Configuration &configuration, const ConfigurationSize &size)
{
    for (unsigned n = 0; n < size.targetHosts; ++n) {
        TargetSpec target;
        target.name = TargetName {numbered("target", n)};
        target.host = HostName {numbered("host", n)};
        target.service = ServiceName {numbered("service", n % size.services)};
        configuration.targets.push_back(target);
    }
    for (unsigned n = 0; n < size.engines; ++n) {
        EngineSpec engine;
        engine.name = EngineName {numbered("engine", n)};
        engine.target = TargetName {numbered("target", n % size.targetHosts)};
        engine.address = {"127.0.0.1", 8000};
        engine.generation = n % 2 == 0 ? "old" : "new";
        engine.maxBatch = 32;
        engine.cacheTokens = 200000;
        configuration.engines.push_back(engine);
    }
}

void addCustomers(Configuration &configuration, const ConfigurationSize &size)
{
    constexpr std::size_t hashDigits = 64;
    for (unsigned n = 0; n < size.customers; ++n) {
        CustomerSpec customer;
        customer.name = CustomerName {numbered("customer", n)};
        auto hash = numbered("", n).substr(1);
        hash.resize(hashDigits, '0');
        customer.keyHashes = {hash};
        for (unsigned tier = 0; tier < size.tiers; ++tier) {
            customer.tiers.emplace_back(tier);
        }
        customer.limits = {10, 100000, 5, 50000};
        configuration.customers.push_back(customer);
    }
}

} // namespace

Configuration sampleConfiguration(const ConfigurationSize &size)
{
    Configuration configuration;
    configuration.revision = 1;
    for (unsigned n = 0; n < size.regions; ++n) {
        configuration.regions.push_back({RegionName {numbered("region", n)}});
    }
    for (unsigned n = 0; n < size.dataCentres; ++n) {
        configuration.dataCentres.push_back(
            {DataCentreName {numbered("centre", n)}, RegionName {numbered("region", n % size.regions)}});
    }
    for (unsigned n = 0; n < size.tiers; ++n) {
        configuration.tiers.push_back({Tier(n), numbered("tier", n), std::chrono::seconds(10)});
    }
    for (unsigned n = 0; n < size.services; ++n) {
        ServiceSpec service;
        service.name = ServiceName {numbered("service", n)};
        service.model = ModelName {numbered("model", n)};
        service.version = "1";
        configuration.services.push_back(service);
    }
    addHosts(configuration, size);
    addTargets(configuration, size);
    addCustomers(configuration, size);
    return configuration;
}

} // namespace monsoonward
