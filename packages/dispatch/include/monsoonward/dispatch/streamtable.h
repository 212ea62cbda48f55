#pragma once

#include "monsoonward/dispatch/enginebuild.h"
#include "monsoonward/dispatch/enginerun.h"

#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonward
{

/// @brief Identifies a stream in all daemons: a hash of the request that brought its first event, and of its customer.
struct StreamKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    MONSOONWARD_FIELDS(high, low)
};

/// @param request ID of the request that brought the first event
/// @param customer empty if the request needed no key
StreamKey streamKeyOf(std::string_view request, std::string_view customer);

/// @brief Which engines may go on with a stream, and until when its caller may ask for it.
struct StreamOrigin
{
    EngineBuild build = 0; ///< of the engine that wrote the first event
    bool isDoubtful = false; ///< the build isn't certain, so no engine may go on
    TimePoint expiresAt; ///< end of the caller's time limit
    MONSOONWARD_FIELDS(build, isDoubtful, expiresAt)
};

/// @brief The origins of streams, until their callers' time limits. Holds a bounded number of them: when it is full,
/// the one that expires first is dropped.
class StreamTable
{
public:
    static constexpr std::size_t defaultCapacity = 50000;

    explicit StreamTable(std::size_t capacity = defaultCapacity);

    /// Adds a stream. One that is known with another build becomes doubtful.
    /// @param run of the engine that wrote the first event to this daemon; 0 if another daemon told of the stream
    /// @return the stream that was dropped for it, if the table was full
    std::optional<StreamKey> record(const StreamKey &stream, const StreamOrigin &origin, EngineRun run, TimePoint now);
    /// Makes streams doubtful that began at this run of an engine at @p since or later.
    /// @return these streams
    std::vector<StreamKey> doubt(EngineRun run, TimePoint since);
    std::optional<StreamOrigin> find(const StreamKey &stream, TimePoint now) const;
    /// @return the streams that have expired; they are dropped
    std::vector<StreamKey> expire(TimePoint now);
    std::size_t size() const;
    /// @return number of streams dropped because the table was full
    std::uint64_t dropped() const;

private:
    struct Hash
    {
        std::size_t operator()(const StreamKey &it) const
        {
            return it.low;
        }
    };
    struct Entry
    {
        StreamOrigin origin;
        EngineRun run = 0;
        TimePoint recordedAt;
    };

    void erase(std::unordered_map<StreamKey, Entry, Hash>::iterator it);

    std::size_t m_capacity;
    std::unordered_map<StreamKey, Entry, Hash> m_streams;
    std::set<std::pair<TimePoint, StreamKey>> m_byExpiry;
    std::uint64_t m_dropped = 0;
};

} // namespace monsoonward
