#pragma once

#include <iosfwd>
#include <memory>
#include <string>

namespace monsoonctl
{

/// @brief Collects from gateways' logs the records that explain the outcome of one request: the records of the request,
/// and earlier ones of the same gateways about its engines, the configuration, the store and the other gateways. The
/// limits that its engines stated, or all engines if limits refused it, are included however old they are.
class Explanation
{
public:
    explicit Explanation(std::string request);
    ~Explanation();
    Explanation(const Explanation &) = delete;
    Explanation &operator=(const Explanation &) = delete;

    /// Reads a log. Counts and skips lines that are not log records.
    void read(std::istream &log);
    /// @return one line for each record, in order of time; empty when no record of the request was read
    std::string text() const;
    /// @return the number of lines that are not log records
    unsigned malformedLines() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace monsoonctl
