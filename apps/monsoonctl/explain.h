#pragma once

#include <iosfwd>
#include <memory>
#include <string>

namespace monsoonctl
{

/// @brief Collects from gateways' logs what explains the end of one request: its own lines, and what its gateways
/// learned shortly before of the engines it was sent to, the configuration, the store and the other gateways.
class Explanation
{
public:
    explicit Explanation(std::string request);
    ~Explanation();
    Explanation(const Explanation &) = delete;
    Explanation &operator=(const Explanation &) = delete;

    /// Reads a log; lines that are no records are counted and passed over.
    void read(std::istream &log);
    /// @return one line a record, in order of time; empty when the request isn't in the logs
    std::string text() const;
    /// @return lines that were no records
    unsigned strangeLines() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace monsoonctl
