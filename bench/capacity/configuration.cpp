#include "measure.h"

#include <monsoonward/transport/transport.h>
#include <sampleconfiguration.h>

namespace monsoonward::capacity
{

namespace
{

void measureGrowth(const std::string &per, const std::vector<unsigned> &counts, unsigned ConfigurationSize::*field)
{
    Slope bytes {"configuration bytes", per, "bytes", {}};
    Slope heap {"configuration heap", per, "bytes", {}};
    Slope encoding {"configuration encode", per, "us", {}};
    Slope decoding {"configuration decode", per, "us", {}};
    for (const auto n : counts) {
        ConfigurationSize size;
        size.*field = n;
        const auto before = heapBytes();
        const auto configuration = sampleConfiguration(size);
        heap.points.emplace_back(n, heapBytes() - before);
        const auto encoded = encodeConfiguration(configuration);
        bytes.points.emplace_back(n, static_cast<double>(encoded.size()));
        encoding.points.emplace_back(n, measureMicroseconds([&] { encodeConfiguration(configuration); }));
        decoding.points.emplace_back(n, measureMicroseconds([&] { decodeConfiguration(encoded).value(); }));
    }
    print(bytes);
    print(heap);
    print(encoding);
    print(decoding);
}

} // namespace

void measureConfiguration()
{
    measureGrowth("customer", {100, 1000, 3000, 10000}, &ConfigurationSize::customers);
    measureGrowth("engine", {100, 400, 1000, 2300}, &ConfigurationSize::engines);
    measureGrowth("host", {40, 100, 200, 370}, &ConfigurationSize::targetHosts);
}

} // namespace monsoonward::capacity
