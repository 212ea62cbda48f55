#pragma once

#include "caller.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace load
{

/// @brief The outcomes of all requests of a class.
struct ClassReport
{
    std::string name;
    std::string tier;
    std::vector<Sample> samples;
};

/// Prints a table with a row for each class: requests sent, completed and in time, p50 and p99 latency in ms, correct
/// answers per second, and the other outcomes by reason.
/// @param seconds duration of the run
void printReport(std::ostream &out, const std::vector<ClassReport> &reports, double seconds);

/// Writes a line for each request: its ID, HTTP status and verdict; "-" stands for a value missing in the answer.
void writeRecord(std::ostream &out, const std::vector<ClassReport> &reports);

/// @return whether every answer with status 200 was complete and belonged to its request
bool allAnswersCorrect(const std::vector<ClassReport> &reports);

} // namespace load
