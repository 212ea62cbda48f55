#include "measure.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iostream>
#include <malloc.h>

namespace monsoonward::capacity
{

namespace
{

double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace

double measureMicroseconds(const std::function<void()> &work, double minimumMs)
{
    std::size_t calls = 0;
    const double begin = processorMicroseconds();
    double spent = 0;
    do {
        work();
        ++calls;
        spent = processorMicroseconds() - begin;
    } while (spent < minimumMs * 1e3);
    return spent / static_cast<double>(calls);
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void print(const Slope &slope)
{
    const nlohmann::json line {
        {"slope", slope.name}, {"per", slope.per}, {"unit", slope.unit}, {"points", slope.points}};
    std::cout << line.dump() << std::endl;
}

} // namespace monsoonward::capacity
