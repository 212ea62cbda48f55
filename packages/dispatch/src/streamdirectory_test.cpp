#include "monsoonward/dispatch/streamdirectory.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

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

    /// The daemon ends and starts again; it knows nothing. The others don't learn of it.
    void restart(unsigned n)
    {
        m_daemons[n] = std::make_unique<Daemon>(*this, n);
        ++m_incarnations[n];
        introduce(*m_daemons[n]);
    }

    /// The daemon ends, and the others have read the list without it.
    void remove(unsigned n)
    {
        down.insert(n);
        introduceAll();
        deliver();
    }

    /// The daemon starts again, and the others have read the list with it.
    void add(unsigned n)
    {
        down.erase(n);
        restart(n);
        introduceAll();
        deliver();
    }

    /// A planned restart: the daemon hands over before the others drop it from the list.
    void replace(unsigned n)
    {
        (*this)[n].leave(now);
        deliver();
        CHECK(!isHandingOverAfterTimeouts(n));
        remove(n);
        add(n);
    }

    /// @return whether the daemon still waits for confirmations after the time that these take at most: as many daemons
    /// as there are holders may come next, one after the other
    bool isHandingOverAfterTimeouts(unsigned n)
    {
        pass(StreamDirectory::confirmationTimeout * StreamDirectory::maxTells * (StreamDirectory::defaultHolders + 1));
        return (*this)[n].isHandingOver();
    }

    /// Time passes at all daemons that run.
    void pass(Duration length)
    {
        constexpr Duration step = 20ms;
        for (const auto end = now + length; now < end;) {
            now += step;
            for (unsigned n = 0; n < m_daemons.size(); ++n) {
                if (down.count(n) == 0) {
                    (*this)[n].tick(now);
                }
            }
            deliver();
        }
    }

    void deliver()
    {
        while (!m_inTransit.empty()) {
            const auto [from, to, message] = m_inTransit.front();
            m_inTransit.pop_front();
            const bool isLost = down.count(to) != 0 || down.count(from) != 0 || (lose && lose(message));
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
    std::function<bool(const StreamMessage &)> lose; ///< decides whether a message gets lost
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
            if (n != daemon.number && m_removed.count(n) == 0) {
                peers.push_back({HostName("g" + std::to_string(n)), addressOf(n), m_incarnations[n]});
            }
        }
        daemon.directory.setPeers(std::move(peers), now);
    }

    void introduceAll()
    {
        m_removed = down;
        for (auto &it : m_daemons) {
            if (down.count(it->number) == 0) {
                introduce(*it);
            }
        }
    }

    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<unsigned, std::uint64_t> m_incarnations;
    std::set<unsigned> m_removed; // not in the list
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
    CHECK(fleet[0].buildChanged(engineOf("v1"), fleet.now + 1s, fleet.now + 1s) == 1);
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

// Holders keep streams in memory, and their next runs were told nothing, so that a rolling restart made streams
// unknown.
TEST_CASE("a stream is found after all holders were replaced, with or without a hand-over, while its daemon serves it")
{
    for (const unsigned size : {4U, 9U, 68U}) {
        CAPTURE(size);
        for (const bool isPlanned : {true, false}) {
            Fleet fleet(size);
            for (unsigned n = 0; n < 24; ++n) {
                fleet[0].begin(key(n), engineOf("v1"), 600s, fleet.now);
            }
            fleet.deliver();
            for (unsigned n = 1; n < size; ++n) {
                if (isPlanned) {
                    fleet.replace(n);
                } else {
                    fleet.add(n);
                }
            }
            fleet.remove(0);
            for (unsigned n = 0; n < 24; ++n) {
                CHECK(fleet.find(1 + n % (size - 1), key(n)).origin);
            }
        }
    }
}

// The same where only the holders know the streams.
TEST_CASE("a stream of a daemon that has ended is found after the others were replaced twice")
{
    for (const unsigned size : {4U, 9U}) {
        CAPTURE(size);
        Fleet fleet(size);
        for (unsigned n = 0; n < 24; ++n) {
            fleet[0].begin(key(n), engineOf("v1"), 600s, fleet.now);
        }
        fleet.deliver();
        fleet.add(0);
        for (unsigned round = 0; round < 2; ++round) {
            for (unsigned n = 1; n < size; ++n) {
                fleet.replace(n);
            }
        }
        for (unsigned n = 0; n < 24; ++n) {
            CHECK(fleet.find(n % size, key(n)).origin);
        }
    }
}

TEST_CASE("a daemon that leaves has streams confirmed, although most messages get lost")
{
    std::mt19937 random(1);
    Fleet fleet(6);
    fleet.lose = [](const StreamMessage &) { return true; };
    for (unsigned n = 0; n < 100; ++n) {
        fleet[0].begin(key(n), engineOf("v1"), 60s, fleet.now);
    }
    fleet.deliver();
    fleet.lose = [&](const StreamMessage &) { return random() % 2 == 0; };
    fleet[0].leave(fleet.now);
    CHECK(fleet[0].isHandingOver());
    CHECK(!fleet.isHandingOverAfterTimeouts(0));
    fleet.lose = nullptr;
    fleet.remove(0);
    unsigned found = 0;
    for (unsigned n = 0; n < 100; ++n) {
        found += fleet.find(1 + n % 5, key(n)).origin ? 1 : 0;
    }
    CHECK(found >= 99);
}

TEST_CASE("a daemon that leaves waits for nobody that doesn't confirm, and tells those that come next")
{
    Fleet fleet(10);
    fleet[0].begin(key(1), engineOf("v1"), 60s, fleet.now);
    fleet.deliver();
    fleet.down = {1, 2, 3, 4, 5, 6, 7, 8, 9};
    fleet.tells = 0;
    fleet[0].leave(fleet.now);
    CHECK(!fleet.isHandingOverAfterTimeouts(0));
    CHECK(fleet.tells <= 2 * StreamDirectory::defaultHolders * StreamDirectory::maxTells);
    Fleet alone(1);
    alone[0].begin(key(1), engineOf("v1"), 60s, alone.now);
    alone[0].leave(alone.now);
    CHECK(!alone[0].isHandingOver());
}

TEST_CASE("a restart costs messages about the streams that the new run holds, not about all")
{
    Fleet fleet(68);
    for (unsigned n = 0; n < 680; ++n) {
        fleet[n % 68].begin(key(n), engineOf("v1"), 60s, fleet.now);
    }
    fleet.deliver();
    fleet.tells = 0;
    fleet.add(5);
    fleet.pass(1s);
    // The new run holds 3 of 68 streams, and its own next holders may change; up to four daemons know of each.
    CHECK(fleet.tells > 0);
    CHECK(fleet.tells < 680 / 68 * 3 * 4 * 2);
}

// A list without a change, or a change that concerns no holder, told every stream again.
TEST_CASE("the same list of daemons again costs no message")
{
    Fleet fleet(5);
    fleet[0].begin(key(1), engineOf("v1"), 60s, fleet.now);
    fleet.deliver();
    fleet.tells = 0;
    fleet.remove(99); // no daemon
    fleet.pass(1s);
    CHECK(fleet.tells == 0);
}

TEST_CASE("many streams are told in steps, each as long as the event loop bears")
{
    Fleet fleet(21);
    for (unsigned n = 0; n < 5000; ++n) {
        fleet[0].begin(key(n), engineOf("v1"), 600s, fleet.now);
    }
    fleet.deliver();
    fleet.tells = 0;
    for (unsigned n = 1; n < 21; ++n) {
        fleet.down.insert(n);
        fleet.restart(n);
    }
    fleet.down.clear();
    fleet.remove(99);
    const auto atOnce = fleet.tells;
    CHECK(atOnce <= 21 * 20000 / 20 * StreamDirectory::defaultHolders);
    CHECK(fleet[0].nextTickAt());
    fleet.pass(2s);
    fleet.remove(0);
    for (unsigned n = 0; n < 5000; n += 50) {
        CHECK(fleet.find(1 + n % 20, key(n)).origin);
    }
}

// Only the present holders were told, so that former ones, and daemons that had asked, went on with such streams.
TEST_CASE("a stream that becomes doubtful is doubtful at all daemons that know it")
{
    Fleet fleet(9);
    fleet[0].begin(key(1), engineOf("v1"), 60s, fleet.now);
    fleet.deliver();
    for (unsigned n = 1; n < 9; n += 2) {
        fleet.replace(n);
    }
    CHECK(fleet[0].doubt(engineOf("v1"), TimePoint(), fleet.now) == 1);
    fleet.deliver();
    fleet.pass(1s);
    for (unsigned n = 0; n < 9; ++n) {
        const auto origin = fleet[n].findHere(key(1), fleet.now);
        CHECK((!origin || origin->isDoubtful));
    }
    CHECK(fleet.find(4, key(1)).origin->isDoubtful);
    fleet.replace(0);
    CHECK(fleet.find(0, key(1)).origin->isDoubtful);
}

// A gateway that had just started took streams for unknown before it had read which gateways it could ask.
TEST_CASE("a daemon that has just started asks as soon as it knows the others")
{
    Fleet fleet(4);
    fleet[0].begin(key(1), engineOf("v1"), 60s, fleet.now);
    fleet.deliver();
    struct NoMessenger : StreamMessenger
    {
        void send(const Address &to, const StreamMessage &message) override
        {
            sent.emplace_back(to, message);
        }
        std::vector<std::pair<Address, StreamMessage>> sent;
    } messenger;
    FleetView view(HostName("new"));
    StreamDirectory directory(view, messenger);
    std::vector<StreamFinding> findings;
    const auto find = [&] {
        directory.find(
            key(1), [&](const StreamFinding &it) { findings.push_back(it); }, fleet.now);
    };
    find();
    CHECK(findings.empty());
    directory.setPeers({{HostName("g0"), Fleet::addressOf(0), 0}}, fleet.now);
    REQUIRE(messenger.sent.size() == 1);
    directory.receive(
        messenger.sent[0].first, {StreamMessage::Kind::Known, key(1), buildOf(engineOf("v1")), false, 9s}, fleet.now);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].origin);

    StreamDirectory withoutList(view, messenger);
    std::optional<StreamFinding> unknown;
    withoutList.find(
        key(1), [&](const StreamFinding &it) { unknown = it; }, fleet.now);
    withoutList.tick(fleet.now + StreamDirectory::listTimeout / 2);
    CHECK(!unknown);
    withoutList.tick(fleet.now + StreamDirectory::listTimeout);
    REQUIRE(unknown);
    CHECK(!unknown->origin);
}
