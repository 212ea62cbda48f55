#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Number of objects of each kind in a sample configuration; the defaults give a small fleet.
struct ConfigurationSize
{
    unsigned regions = 2;
    unsigned dataCentres = 3;
    unsigned entries = 2;
    unsigned targetHosts = 4;
    unsigned engines = 8;
    unsigned services = 2;
    unsigned tiers = 3;
    unsigned customers = 5;
};

/// @return a configuration of that size; targets are assigned to services, and engines to targets, round-robin
Configuration sampleConfiguration(const ConfigurationSize &size);

} // namespace monsoonward
