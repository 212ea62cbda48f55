#pragma once

#include "monsoonward/values/random.h"
#include "monsoonward/values/tied.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace monsoonward
{

/// @brief Identifies one run of a process: 128 random bits, generated at each start.
struct Incarnation
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    MONSOONWARD_FIELDS(high, low)
};

/// @brief Identifies a request: the incarnation of the entry that accepted it and its sequence number there.
struct RequestId
{
    Incarnation entry;
    std::uint64_t sequence = 0;
    MONSOONWARD_FIELDS(entry, sequence)
};

/// @brief Identifies one claim that a target daemon makes on a request. Numbers increase within an incarnation and are
/// never reused.
struct ClaimId
{
    Incarnation target;
    std::uint64_t number = 0;
    MONSOONWARD_FIELDS(target, number)
};

Incarnation makeIncarnation(Random &random);
/// @return 32 hexadecimal digits
std::string textOf(const Incarnation &incarnation);
/// @return "INCARNATION-SEQUENCE": 32 hexadecimal digits, then the sequence number in decimal
std::string textOf(const RequestId &id);
/// @return "INCARNATION-NUMBER": 32 hexadecimal digits, then the number in decimal
std::string textOf(const ClaimId &id);
/// Parses the format of textOf(const RequestId &).
/// @return nothing when @p text is malformed
std::optional<RequestId> parseRequestId(const std::string &text);

} // namespace monsoonward

namespace std
{
template<>
struct hash<monsoonward::Incarnation>
{
    size_t operator()(const monsoonward::Incarnation &it) const
    {
        return it.high ^ (it.low * 0x9e3779b97f4a7c15ULL);
    }
};
template<>
struct hash<monsoonward::RequestId>
{
    size_t operator()(const monsoonward::RequestId &it) const
    {
        return hash<monsoonward::Incarnation>()(it.entry) ^ (it.sequence * 0xff51afd7ed558ccdULL);
    }
};
template<>
struct hash<monsoonward::ClaimId>
{
    size_t operator()(const monsoonward::ClaimId &it) const
    {
        return hash<monsoonward::Incarnation>()(it.target) ^ (it.number * 0xff51afd7ed558ccdULL);
    }
};
} // namespace std
