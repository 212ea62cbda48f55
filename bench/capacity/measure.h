#pragma once

#include <functional>
#include <string>
#include <vector>

/// Measures how processor time, message size and memory grow with a parameter, such as the number of targets. Prints
/// each series as one line of JSON.
namespace monsoonward::capacity
{

/// @brief A quantity measured at several values of a parameter.
struct Slope
{
    std::string name;
    std::string per; ///< what the parameter counts, such as "target"
    std::string unit; ///< of the quantity: "bytes" or "us"
    std::vector<std::pair<double, double>> points; ///< parameter, quantity
};

/// Calls @p work until it has used at least @p minimumMs milliseconds of processor time.
/// @return mean processor time of one call, in microseconds
double measureMicroseconds(const std::function<void()> &work, double minimumMs = 50);
/// @return bytes that this process has allocated on the heap
double heapBytes();
/// Prints the series as one line of JSON.
void print(const Slope &slope);

void measureCodec();
void measureConfiguration();
void measureEntry();
void measureRoutes();
void measureTarget();

} // namespace monsoonward::capacity
