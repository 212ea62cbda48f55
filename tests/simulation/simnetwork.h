#pragma once

#include "simprocess.h"

#include "fleet.h"

#include <map>

namespace monsoonward
{

/// @brief Delivers messages between processes over one connection per pair of hosts.
class SimNetwork
{
public:
    using ProcessPtr = std::shared_ptr<SimProcess>;

    SimNetwork(EventQueue &queue, Random &random);

    /// Adds a started process and connects it to every process it exchanges messages with.
    void add(const ProcessPtr &process, const RegionName &region);
    /// Removes a dead process; its peers notice after the network delay that their connections are down.
    void remove(const ProcessPtr &process);
    void setLink(const HostName &from, const HostName &to, const LinkFault &fault);
    /// Drops messages from @p from to @p to. The connection stays up, so neither side sees a disconnect.
    void setBlocked(const HostName &from, const HostName &to, bool blocked);
    /// Sets the share of messages (0 to 1) that may overtake earlier ones.
    void setReorderShare(double share);

    void send(const Peer &from, const Peer &to, const Message &message);
    /// Tells @p to that @p from has closed the claim's stream.
    void closeStream(const Peer &from, const Peer &to, const RequestId &id, const ClaimId &claim);

private:
    struct Pair
    {
        HostName a;
        HostName b; // a < b
        MONSOONWARD_FIELDS(a, b)
    };
    struct Direction
    {
        HostName from;
        HostName to;
        MONSOONWARD_FIELDS(from, to)
    };
    struct Connection
    {
        std::uint64_t number = 0; // incremented by each connect; 0: never connected
        Peer peers[2]; // processes at the time of the last connect
        bool up[2] = {false, false}; // as each side sees it
        std::uint64_t cutChanges = 0; // incremented by each cut and repair
    };

    static Pair pairOf(const HostName &a, const HostName &b);
    /// @return whether the two exchange messages: targets don't connect to each other
    static bool mayConnect(const SimProcess &a, const SimProcess &b);
    ProcessPtr find(const Peer &peer) const;
    LinkFault faultOf(const HostName &from, const HostName &to) const;
    Duration delayOf(const HostName &from, const HostName &to);
    void tryConnect(const Pair &pair);
    void connectSoon(const Pair &pair, Duration delay);
    /// Marks the connection as down on one side, notifies its process and schedules a reconnect.
    void markDown(const Pair &pair, std::size_t side);
    void transmit(const Peer &from, const Peer &to, const std::function<void(SimProcess &)> &deliver);
    void deliverAfter(Duration delay,
                      const Peer &from,
                      const Peer &to,
                      std::uint64_t connection,
                      const std::function<void(SimProcess &)> &deliver);

    EventQueue &m_queue;
    Random &m_random;
    std::map<HostName, ProcessPtr> m_processes;
    std::map<HostName, RegionName> m_regions;
    std::map<Pair, Connection> m_connections;
    std::map<Direction, LinkFault> m_faults;
    std::map<Direction, bool> m_blocked;
    std::map<Direction, TimePoint> m_lastDelivery;
    double m_reorderShare = 0;
};

} // namespace monsoonward
