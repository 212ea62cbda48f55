#include "monsoonward/dispatch/streamdirectory.h"

#include <doctest/doctest.h>

#include <deque>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Daemons whose messages arrive when the test delivers them.
class Fleet
{
public:
    explicit Fleet(unsigned size)
    {
        for (unsigned n = 0; n < size; ++n) {
            m_daemons.push_back(std::make_unique<Daemon>(*this, n));
        }
        for (auto &it : m_daemons) {
            introduce(*it);
        }
    }

    StreamDirectory &operator[](unsigned n)
    {
        return m_daemons[n]->directory;
    }

    /// The daemon ends and starts again; it knows nothing.
    void restart(unsigned n)
    {
        m_daemons[n] = std::make_unique<Daemon>(*this, n);
        introduce(*m_daemons[n]);
    }

    void deliver()
    {
        while (!m_inTransit.empty()) {
            const auto [from, to, message] = m_inTransit.front();
            m_inTransit.pop_front();
            const bool isLost = down.count(to) != 0 || down.count(from) != 0;
            (message.kind == StreamMessage::Kind::Tell ? tells : asks) += 1;
            if (!isLost) {
                m_daemons[to]->directory.receive(addressOf(from), message, now);
            }
        }
    }

    /// @return the answer to a look-up after all time-outs
    StreamFinding find(unsigned at, const StreamKey &stream)
    {
        std::optional<StreamFinding> found;
        (*this)[at].find(
            stream, [&](const StreamFinding &it) { found = it; }, now);
        deliver();
        for (unsigned n = 0; n < 10 && !found; ++n) {
            now += StreamDirectory::answerTimeout;
            (*this)[at].tick(now);
            deliver();
        }
        REQUIRE(found);
        CHECK(!(*this)[at].nextTickAt());
        return *found;
    }

    static Address addressOf(unsigned n)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(n)};
    }

    TimePoint now {1h};
    std::set<unsigned> down; ///< get no messages
    unsigned tells = 0;
    unsigned asks = 0; ///< with their answers

private:
    struct Daemon : StreamMessenger
    {
        Daemon(Fleet &fleet, unsigned n)
            : fleet(fleet)
            , number(n)
            , view(HostName("g" + std::to_string(n)))
            , directory(view, *this)
        {
        }
        void send(const Address &to, const StreamMessage &message) override
        {
            fleet.m_inTransit.push_back({number, to.port, message});
        }
        Fleet &fleet;
        unsigned number;
        FleetView view;
        StreamDirectory directory;
    };
    struct Transit
    {
        unsigned from;
        unsigned to;
        StreamMessage message;
    };

    void introduce(Daemon &daemon)
    {
        std::vector<StreamPeer> peers;
        for (unsigned n = 0; n < m_daemons.size(); ++n) {
            if (n != daemon.number) {
                peers.push_back({HostName("g" + std::to_string(n)), addressOf(n)});
            }
        }
        daemon.directory.setPeers(std::move(peers));
    }

    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::deque<Transit> m_inTransit;
};

EngineRecord engineOf(const std::string &version)
{
    EngineRecord it;
    it.name = EngineName("e");
    it.service = ServiceName("s");
    it.softwareVersion = version;
    return it;
}

StreamKey key(unsigned n)
{
    return streamKeyOf("r" + std::to_string(n), "c");
}

} // namespace

TEST_CASE("any daemon finds a stream, with as many messages in a large fleet as in a small one")
{
    for (const unsigned size : {5U, 50U, 304U}) {
        CAPTURE(size);
        Fleet fleet(size);
        fleet[0].begin(key(1), engineOf("v1"), 10s, fleet.now);
        fleet.deliver();
        CHECK(fleet.tells == StreamDirectory::defaultHolders);
        for (unsigned n = 0; n < 5; ++n) {
            const auto finding = fleet.find(n, key(1));
            REQUIRE(finding.origin);
            CHECK(finding.origin->build == buildOf(engineOf("v1")));
            CHECK(!finding.origin->isDoubtful);
        }
        CHECK(fleet.asks <= std::size_t {5} * 2 * StreamDirectory::defaultHolders);
    }
}

TEST_CASE("a stream is found after its first daemon has ended, also by one that started since")
{
    Fleet fleet(5);
    for (unsigned n = 0; n < 20; ++n) {
        fleet[0].begin(key(n), engineOf("v1"), 10s, fleet.now);
    }
    fleet.deliver();
    fleet.down = {0};
    fleet.restart(1);
    for (unsigned n = 0; n < 20; ++n) {
        CHECK(fleet.find(1, key(n)).origin);
        CHECK(fleet.find(1, key(n)).source == "here");
    }
}

TEST_CASE("a stream that no daemon knows is unknown, with few messages")
{
    Fleet fleet(304);
    CHECK(!fleet.find(3, key(1)).origin);
    CHECK(fleet.asks <= 2 * StreamDirectory::maxAsked);
    Fleet alone(1);
    CHECK(!alone.find(0, key(1)).origin);
}

TEST_CASE("daemons that don't answer are passed over")
{
    Fleet fleet(8);
    fleet[0].begin(key(1), engineOf("v1"), 10s, fleet.now);
    fleet.deliver();
    unsigned found = 0;
    for (unsigned n = 1; n < 8; ++n) { // each of the others is down in turn, and with it one of the holders
        fleet.down = {0, n};
        const auto asker = n == 7 ? 1 : n + 1;
        fleet.restart(asker);
        found += fleet.find(asker, key(1)).origin ? 1 : 0;
    }
    CHECK(found >= 5);
    fleet.down = {0, 1, 2, 3, 4, 5, 6, 7};
    fleet.restart(2);
    const auto before = fleet.now;
    CHECK(!fleet.find(2, key(1)).origin);
    CHECK(fleet.now - before <= 4 * StreamDirectory::answerTimeout);
}

TEST_CASE("a stream expires at all daemons, and is told again when it goes on")
{
    Fleet fleet(5);
    fleet[0].begin(key(1), engineOf("v1"), 2s, fleet.now);
    fleet.deliver();
    fleet.now += 3s;
    CHECK(!fleet.find(1, key(1)).origin);
    fleet[0].begin(key(2), engineOf("v1"), 10s, fleet.now);
    fleet.deliver();
    for (const unsigned n : {1U, 2U, 3U, 4U}) { // all holders start again, one after the other
        REQUIRE(fleet.find(n, key(2)).origin);
        fleet[n].begin(key(2), engineOf("v1"), 9s, fleet.now);
        fleet.deliver();
        fleet.restart(n);
        fleet.restart(n - 1);
    }
    CHECK(fleet.find(0, key(2)).origin);
}

TEST_CASE("streams that began at an engine shortly before it registered with another version are doubtful everywhere")
{
    Fleet fleet(5);
    fleet[0].begin(key(1), engineOf("v1"), 20s, fleet.now);
    fleet.now += EngineDirectory::registrationDelay + 1s;
    fleet[0].begin(key(2), engineOf("v1"), 20s, fleet.now);
    fleet.deliver();
    CHECK(fleet[0].buildChanged(engineOf("v1"), fleet.now + 1s) == 1);
    fleet.deliver();
    fleet.restart(0);
    CHECK(!fleet.find(0, key(1)).origin->isDoubtful);
    CHECK(fleet.find(0, key(2)).origin->isDoubtful);
}

TEST_CASE("an answer of a daemon that was not asked changes nothing")
{
    Fleet fleet(3);
    fleet.down = {1, 2};
    bool isFound = false;
    fleet[0].find(
        key(1), [&](const StreamFinding &it) { isFound = it.origin.has_value(); }, fleet.now);
    fleet[0].receive({"10.0.0.9", 9}, {StreamMessage::Kind::Known, key(1), 7, false, 10s}, fleet.now);
    CHECK(!isFound);
    fleet[0].receive(Fleet::addressOf(1), {StreamMessage::Kind::Known, key(1), 7, false, 10s}, fleet.now);
    CHECK(isFound);
}
