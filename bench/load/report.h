#pragma once

#include "caller.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace load
{

/// @brief What one class of requests got.
struct ClassReport
{
    std::string name;
    std::string tier;
    std::vector<Sample> samples;
};

/// Prints a row for each class: sent, completed, in time, refused by reason, p50 and p99 in ms, requests a second.
/// @param seconds length of the run
void printReport(std::ostream &out, const std::vector<ClassReport> &reports, double seconds);

/// Writes a line for each request: its ID, HTTP status and verdict; "-" for what the caller wasn't told.
void writeRecord(std::ostream &out, const std::vector<ClassReport> &reports);

/// @return whether every answer with status 200 was whole and its caller's own
bool allOwnAndWhole(const std::vector<ClassReport> &reports);

} // namespace load
