#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Numbers of things in a sample configuration; the defaults are a small fleet.
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

/// @return a configuration of that size; engines are spread evenly over hosts and services
Configuration sampleConfiguration(const ConfigurationSize &size);

} // namespace monsoonward
