#pragma once

#include "simprocess.h"

#include "fleet.h"

#include <map>

namespace monsoonward
{

/// @brief Carries messages between processes over one connection for each pair of hosts.
class SimNetwork
{
public:
    using ProcessPtr = std::shared_ptr<SimProcess>;

    SimNetwork(EventQueue &queue, Random &random);

    /// The process listens, and connects to every process that it has something to do with.
    void add(const ProcessPtr &process, const RegionName &region);
    /// The process has died; its peers' connections break.
    void remove(const ProcessPtr &process);
    void setLink(const HostName &from, const HostName &to, const LinkFault &fault);
    /// Drops what @p from sends to @p to; neither side notices by itself.
    void setOneWay(const HostName &from, const HostName &to, bool cut);
    /// Share of messages that overtake others.
    void setReorder(double share);

    void send(const Peer &from, const Peer &to, const Message &message);
    /// The sender closed the claim's stream.
    void closeStream(const Peer &from, const Peer &to, const RequestId &id, const ClaimId &claim);

private:
    struct Pair
    {
        HostName a;
        HostName b; // a < b
        MONSOONWARD_FIELDS(a, b)
    };
    struct Way
    {
        HostName from;
        HostName to;
        MONSOONWARD_FIELDS(from, to)
    };
    struct Connection
    {
        std::uint64_t number = 0; // rises with each connection; 0: none yet
        Peer peers[2]; // as of the last connection
        bool up[2] = {false, false}; // as each side sees it
        std::uint64_t cuts = 0; // rises with each cut or repair
    };

    static Pair pairOf(const HostName &a, const HostName &b);
    static bool talk(const SimProcess &a, const SimProcess &b);
    ProcessPtr find(const Peer &peer) const;
    LinkFault faultOf(const HostName &from, const HostName &to) const;
    Duration delayOf(const HostName &from, const HostName &to);
    void tryConnect(const Pair &pair);
    void connectSoon(const Pair &pair, Duration delay);
    void lose(const Pair &pair, std::size_t side);
    void carry(const Peer &from, const Peer &to, const std::function<void(SimProcess &)> &deliver);
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
    std::map<Way, LinkFault> m_faults;
    std::map<Way, bool> m_oneWay;
    std::map<Way, TimePoint> m_lastDelivery;
    double m_reorder = 0;
};

} // namespace monsoonward
