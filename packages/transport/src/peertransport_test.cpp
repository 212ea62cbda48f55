#include "loopback.h"
#include "monsoonward/transport/transport.h"

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

using namespace monsoonward;

namespace
{

constexpr auto waitTimeout = std::chrono::seconds(20);
const RequestId requestId {{1, 2}, 3};

/// Records the callbacks of a transport, so that tests can wait for them.
class Recorder : public PeerHandler
{
public:
    explicit Recorder(const Peer &own, HostRole role)
        : m_own(own)
        , m_role(role)
    {
    }
    Heartbeat heartbeat() override
    {
        return {m_own, m_role, 1, 0, false};
    }
    void peerUp(const Peer &peer, HostRole /*role*/) override
    {
        update([&] { up.push_back(peer); });
    }
    void peerDown(const Peer &peer) override
    {
        update([&] { down.push_back(peer); });
    }
    void sessionMessage(const Peer & /*from*/, Message message) override
    {
        update([&] { session.push_back(message); });
    }
    void claimMessage(const Peer & /*from*/, const Claim &claim, Message message, std::size_t wireBytes) override
    {
        update([&] {
            claims.push_back(message);
            bytes += wireBytes;
        });
        if (onClaimMessage) {
            onClaimMessage(claim, message, wireBytes);
        }
    }
    void claimClosed(const Peer & /*from*/, const Claim &claim) override
    {
        update([&] { closed.push_back(claim); });
    }
    bool waitFor(const std::function<bool()> &condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, waitTimeout, condition);
    }

    std::vector<Peer> up;
    std::vector<Peer> down;
    std::vector<Message> session;
    std::vector<Message> claims;
    std::vector<Claim> closed;
    std::size_t bytes = 0;
    std::function<void(const Claim &, const Message &, std::size_t)> onClaimMessage;

private:
    void update(const std::function<void()> &apply)
    {
        const std::lock_guard lock(m_mutex);
        apply();
        m_changed.notify_all();
    }

    Peer m_own;
    HostRole m_role;
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

/// The transport of one daemon and the recorder of its callbacks.
struct TestDaemon
{
    TestDaemon(const std::string &host, HostRole role, const std::string &secret)
        : own {HostName(host), {7, std::hash<std::string>()(host)}}
        , recorder(own, role)
    {
        options.own = own;
        options.role = role;
        options.sharedSecret = secret;
        options.idleTimeout = std::chrono::minutes(1);
    }
    void start()
    {
        bool started = false;
        for (int n = 0; n < 5 && !started; ++n) {
            if (options.role == HostRole::Entry) {
                options.listen = {"127.0.0.1", freePort()};
            }
            transport = std::make_unique<PeerTransport>(options, recorder, events);
            started = static_cast<bool>(transport->start());
        }
        REQUIRE(started);
    }

    Peer own;
    NullEventLog events;
    Recorder recorder;
    PeerTransportOptions options;
    std::unique_ptr<PeerTransport> transport;
};

/// An entry and a target that are connected to each other.
struct ConnectedPair
{
    ConnectedPair()
        : entry("entry-1", HostRole::Entry, "secret")
        , target("target-1", HostRole::Target, "secret")
    {
        entry.start();
        target.start();
        target.transport->setPeerAddresses({entry.options.listen});
        REQUIRE(entry.recorder.waitFor([this] { return !entry.recorder.up.empty(); }));
        REQUIRE(target.recorder.waitFor([this] { return !target.recorder.up.empty(); }));
    }
    Claim openClaim(std::uint64_t number)
    {
        Claim claim {requestId, {target.own.incarnation, number}, TargetName("t"), EngineName("e")};
        target.transport->openClaim(entry.own, claim);
        REQUIRE(entry.recorder.waitFor([this] { return !entry.recorder.claims.empty(); }));
        return claim;
    }

    TestDaemon entry;
    TestDaemon target;
};

} // namespace

TEST_CASE("daemons with the same secret exchange messages in both directions")
{
    ConnectedPair pair;
    CHECK(pair.entry.recorder.up.front() == pair.target.own);
    CHECK(pair.target.recorder.up.front() == pair.entry.own);
    pair.entry.transport->send(pair.target.own, Withdraw {requestId, TargetName("t")});
    pair.target.transport->send(pair.entry.own, RefusedAck {});
    CHECK(pair.target.recorder.waitFor([&] { return pair.target.recorder.session.size() == 2; }));
    CHECK(pair.entry.recorder.waitFor([&] { return pair.entry.recorder.session.size() == 2; }));
    CHECK(std::get<Withdraw>(pair.target.recorder.session[1]).id == requestId);
}

TEST_CASE("a daemon with another secret gets no session")
{
    TestDaemon entry("entry-1", HostRole::Entry, "secret");
    TestDaemon untrusted("target-1", HostRole::Target, "another secret");
    TestDaemon trusted("target-2", HostRole::Target, "secret");
    entry.start();
    untrusted.start();
    untrusted.transport->setPeerAddresses({entry.options.listen});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    trusted.start();
    trusted.transport->setPeerAddresses({entry.options.listen});
    REQUIRE(entry.recorder.waitFor([&] { return !entry.recorder.session.empty(); }));
    CHECK(entry.recorder.up.size() == 1);
    CHECK(entry.recorder.up.front() == trusted.own);
    CHECK(untrusted.recorder.up.empty());
    CHECK(entry.recorder.session.size() == 1);
}

TEST_CASE("a claim's stream carries the hand-over to the target and a large answer to the entry")
{
    ConnectedPair pair;
    const auto claim = pair.openClaim(1);
    const std::string body(std::size_t {2} * 1024 * 1024, 'b');
    pair.entry.recorder.onClaimMessage = [&](const Claim &it, const Message & /*message*/, std::size_t wireBytes) {
        pair.entry.transport->consumed(it.claim, wireBytes);
    };
    pair.entry.transport->answerClaim(
        claim.claim, std::make_shared<Message>(HandOver {requestId, claim.claim, "POST", "/v1", {}, body}));
    REQUIRE(pair.target.recorder.waitFor([&] { return !pair.target.recorder.claims.empty(); }));
    CHECK(std::get<HandOver>(pair.target.recorder.claims[0]).body == body);

    const auto writer = pair.target.transport->answerWriter(claim.claim);
    constexpr std::size_t chunkBytes = 65536;
    CHECK(writer->write(AnswerBegin {requestId, claim.claim, 200, {}}));
    for (std::uint64_t n = 0; n < body.size(); n += chunkBytes) {
        CHECK(writer->write(AnswerChunk {requestId, claim.claim, n, body.substr(n, chunkBytes)}));
    }
    CHECK(writer->write(AnswerEnd {requestId, claim.claim, body.size(), Verdict::Completed, "", 0, 0, 0}));
    REQUIRE(pair.entry.recorder.waitFor(
        [&] { return std::holds_alternative<AnswerEnd>(pair.entry.recorder.claims.back()); }));
    CHECK(pair.entry.recorder.claims.size() == 2 + body.size() / chunkBytes + 1);
    CHECK(pair.entry.recorder.closed.empty());
}

TEST_CASE("the writer of an answer blocks when the entry consumes nothing")
{
    ConnectedPair pair;
    const auto claim = pair.openClaim(1);
    const auto writer = pair.target.transport->answerWriter(claim.claim);
    constexpr std::size_t chunkBytes = 32768;
    constexpr std::size_t bound = std::size_t {2} * 1024 * 1024; // well above send queue, window and one chunk
    std::atomic<std::size_t> written {0};
    std::thread thread([&] {
        const std::string bytes(chunkBytes, 'x');
        writer->write(AnswerBegin {requestId, claim.claim, 200, {}});
        while (written < 4 * bound && writer->write(AnswerChunk {requestId, claim.claim, written, bytes})) {
            written += chunkBytes;
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(written < bound);
    CHECK(pair.entry.recorder.bytes < bound);
    pair.target.transport->closeClaim(claim.claim);
    thread.join();
    CHECK(written < bound);
    CHECK(pair.entry.recorder.waitFor([&] { return pair.entry.recorder.closed.size() == 1; }));
}

TEST_CASE("a lost connection closes its claims, reports the peer as down and is re-established")
{
    ConnectedPair pair;
    pair.openClaim(1);
    pair.entry.transport->stop();
    REQUIRE(pair.target.recorder.waitFor([&] { return !pair.target.recorder.down.empty(); }));
    CHECK(pair.target.recorder.closed.size() == 1);
    pair.entry.transport = std::make_unique<PeerTransport>(pair.entry.options, pair.entry.recorder, pair.entry.events);
    REQUIRE(pair.entry.transport->start());
    CHECK(pair.target.recorder.waitFor([&] { return pair.target.recorder.up.size() == 2; }));
}
