#pragma once

#include <functional>
#include <string>
#include <vector>

/// Measures how processor time, bytes and memory grow with a size. Each slope becomes one line of JSON.
namespace monsoonward::capacity
{

/// @brief A quantity measured at several sizes.
struct Slope
{
    std::string name;
    std::string per; ///< what the size counts, such as "target"
    std::string unit; ///< of the quantity: "bytes" or "us"
    std::vector<std::pair<double, double>> points; ///< size, quantity
};

/// @return processor time of one call of @p work, in microseconds; it is called for at least @p leastMs milliseconds
double microseconds(const std::function<void()> &work, double leastMs = 50);
/// @return bytes of heap in use by this process
double heapBytes();
/// Prints the slope as one line of JSON.
void print(const Slope &slope);

void measureCodec();
void measureConfiguration();
void measureEntry();
void measureTarget();

} // namespace monsoonward::capacity
