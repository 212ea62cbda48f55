#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace monsoonctl
{

/// @brief Finds in gateways' logs which requests belong to one stream: the one that brought its first event, and those
/// that took it up.
class StreamChain
{
public:
    void read(std::istream &log);
    /// @return the request and all others of its stream
    std::set<std::string> requestsWith(const std::string &request) const;

private:
    std::map<std::string, std::string> m_firstRequests; // of the streams, by the requests that took them up
};

/// @brief Collects from gateways' logs the records that explain the outcome of one request, or of the requests of one
/// stream: their records, and earlier ones of the same gateways about its engines, the configuration, the store and the
/// other gateways. The limits that its engines stated, or all engines if limits refused it, are included however old
/// they are.
class Explanation
{
public:
    explicit Explanation(std::set<std::string> requests);
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
