#pragma once

#include "monsoonward/dispatch/streamcopies.h"

#include <functional>

namespace monsoonward
{

/// @brief A message between two daemons about one stream.
struct StreamMessage
{
    enum class Kind {
        Tell, ///< the stream has begun
        Ask, ///< where has the stream begun?
        Known, ///< answer with the origin, also to a Tell that asks for a confirmation
        Unknown, ///< answer of a daemon that doesn't know the stream
    };
    Kind kind = Kind::Ask;
    StreamKey stream;
    EngineBuild build = 0; ///< of Tell and Known
    bool isDoubtful = false; ///< of Tell and Known: the build isn't certain
    Duration left {}; ///< of Tell and Known: time until the stream's caller gives up
    bool asksForConfirmation = false; ///< of Tell
    MONSOONWARD_FIELDS(kind, stream, build, isDoubtful, left, asksForConfirmation)
};

/// @return what a Tell or Known message states
StreamOrigin originIn(const StreamMessage &message, TimePoint now);
/// @return a Tell or Known message
StreamMessage messageOf(StreamMessage::Kind kind, const StreamKey &stream, const StreamOrigin &origin, TimePoint now);

/// @brief Sends messages about streams to other daemons. They may get lost.
class StreamMessenger
{
public:
    virtual ~StreamMessenger() = default;
    virtual void send(const Address &to, const StreamMessage &message) = 0;
};

/// @brief A daemon that was asked about a stream.
struct AskedPeer
{
    HostName host;
    bool hasAnswered = false; ///< that it doesn't know the stream
    MONSOONWARD_FIELDS(host, hasAnswered)
};

/// @brief What is known of a stream that a caller wants to take up.
struct StreamFinding
{
    std::optional<StreamOrigin> origin; ///< nothing if no daemon that was asked knows the stream
    std::string source; ///< "here", or the daemon that knew the stream
    std::vector<AskedPeer> asked; ///< in this order; without the daemon that knew the stream
    MONSOONWARD_FIELDS(origin, source, asked)
};

/// @brief Knows at which build of an engine each stream began, together with the other daemons.
///
/// When a stream begins at a daemon, that daemon tells some others, its holders, which all daemons find by rendezvous
/// hashing of the stream over the registered daemons. So any daemon can ask them, also after the first one has ended,
/// and also one that has just started; the work for a stream doesn't grow with the number of daemons. A daemon that
/// gets no answer asks those that come next, since views of the fleet differ for a while. If none knows the stream, it
/// is unknown.
///
/// What a daemon knows ends with its process. When the list of daemons changes, those that know a stream, the first one
/// or holders, therefore tell its present holders; a new run under an old name is a change too. Two of them do, or one
/// alone until it is confirmed. A daemon that leaves has all that it knows confirmed by daemons that stay.
class StreamDirectory
{
public:
    static constexpr std::size_t defaultHolders = 3;
    static constexpr std::size_t maxAsked = 9;
    /// Then the next daemons are asked. A round trip between regions fits into it.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(60);
    /// Then a stream is told again that wasn't confirmed, up to maxTells times. Then the next daemon is told in its
    /// place.
    static constexpr Duration confirmationTimeout = std::chrono::milliseconds(100);
    static constexpr std::uint32_t maxTells = 3;
    /// For which a daemon that has just started waits for the list of the others before it takes a stream for unknown.
    static constexpr Duration listTimeout = std::chrono::milliseconds(600);

    using Found = std::function<void(const StreamFinding &)>;

    /// @param fleet, messenger must outlive this object
    /// @param holders number of daemons that are told of each stream
    StreamDirectory(const FleetView &fleet,
                    StreamMessenger &messenger,
                    std::size_t holders = defaultHolders,
                    std::size_t capacity = StreamTable::defaultCapacity);

    /// Replaces the other registered daemons, and tells new ones of the streams that they hold now.
    void setPeers(std::vector<StreamPeer> peers, TimePoint now);
    /// This daemon will end: has its streams confirmed by the others. Their list may still change.
    void leave(TimePoint now);
    /// @return whether streams wait to be confirmed by others since leave()
    bool isHandingOver() const;
    /// The first event of a stream has arrived here, and hasn't been passed on to the caller yet.
    /// @param left until the time limit of the caller
    /// @return the daemons that were told
    std::vector<StreamPeer> begin(const StreamKey &stream, const EngineRecord &engine, Duration left, TimePoint now);
    /// An engine registered with another build under the name that it had.
    /// @param former its registration before
    /// @param readAsOf when that was last known to be the newest one
    /// @return number of streams that may have begun at the new build already, and are doubtful now
    std::size_t buildChanged(const EngineRecord &former, TimePoint readAsOf, TimePoint now);
    /// An engine may have started again with another build at @p since or later.
    /// @return number of streams that began there since, and are doubtful now
    std::size_t doubt(const EngineRecord &engine, TimePoint since, TimePoint now);
    /// @return what this daemon itself knows
    std::optional<StreamOrigin> findHere(const StreamKey &stream, TimePoint now) const;
    /// Finds a stream here or at other daemons.
    /// @param found called exactly once, at once or within the time that asking takes
    void find(const StreamKey &stream, Found found, TimePoint now);
    void receive(const Address &from, const StreamMessage &message, TimePoint now);
    /// Asks further daemons where answers are missing, tells again what isn't confirmed, and drops expired streams.
    void tick(TimePoint now);
    /// @return when tick() has to be called; nothing if only streams that expire wait for it
    std::optional<TimePoint> nextTickAt() const;
    std::size_t size() const;
    /// @return number of streams dropped because there were too many
    std::uint64_t dropped() const;

private:
    struct Lookup
    {
        std::vector<StreamPeer> ranked; // the daemons to ask, in order
        std::vector<AskedPeer> peers; // those of them that were asked
        std::size_t awaited = 0; // answers that may still come before timeoutAt
        TimePoint timeoutAt;
        std::vector<Found> callbacks;
    };
    using Lookups = std::map<StreamKey, Lookup>;

    /// Comparisons of a stream with a daemon until the event loop gets its turn.
    static constexpr std::size_t maxComparisons = 20000;
    /// Daemons that tell a new holder of a stream, of those that know it.
    static constexpr std::size_t tellers = 2;
    static constexpr Duration pauseBetweenReviews = std::chrono::milliseconds(10);

    void record(const StreamKey &stream, const StreamOrigin &origin, EngineRun run, TimePoint now);
    void forget(const StreamKey &stream);
    void receiveTell(const Address &from, const StreamMessage &message, TimePoint now);
    void receiveKnown(const Address &from, const StreamMessage &message, TimePoint now);
    /// Tells daemons of streams that may lack copies, as many as the event loop bears.
    void review(TimePoint now);
    /// Tells the stream's holders that have no copy, and again those that haven't confirmed theirs.
    void provideCopies(const StreamKey &stream, TimePoint now);
    /// @return whether others know the stream who tell a new holder, so that this daemon need not
    bool mayLeaveToOthers(const StreamKey &stream, const std::vector<StreamCopy> &copies, TimePoint now) const;
    /// Sends a message that asks for a confirmation if the copy needs one now.
    void provideCopy(const StreamKey &stream, const StreamOrigin &origin, StreamCopy &copy, TimePoint now);
    /// Tells all daemons that know the stream that it is doubtful.
    /// @param source the daemon that this one knows it from; null if there is none
    void spreadDoubt(const StreamKey &stream, const StreamPeer *source, TimePoint now);
    void askMore(const StreamKey &stream, Lookup &lookup, std::size_t count, TimePoint now);
    void answered(const Address &from, const StreamMessage &message, TimePoint now);
    void finish(Lookups::iterator it, std::optional<StreamOrigin> origin, std::string source);

    StreamRanking m_ranking;
    StreamMessenger &m_messenger;
    std::size_t m_holders;
    StreamTable m_table;
    StreamCopies m_copies;
    Lookups m_lookups;
    TimePoint m_nextReviewAt;
    bool m_isListed = false; // the other daemons are known
    bool m_isLeaving = false;
};

} // namespace monsoonward
