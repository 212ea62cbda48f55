#include "state.h"

#include <monsoonward/stores/stores.h>

#include <doctest/doctest.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

using namespace monsoonward;

namespace
{

/// Queues posted tasks; the test's thread runs them one by one.
class TestExecutor : public Executor
{
public:
    void post(std::function<void()> task) override
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
        m_wake.notify_one();
    }
    void runOne()
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return !m_tasks.empty(); });
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
};

/// @return the port of a stand-in that serves until the process ends
std::uint16_t startStandin()
{
    struct Standin
    {
        standin::State state;
        standin::HttpServer server {0,
                                    [this](const auto &request, auto &responder) { state.handle(request, responder); }};
    };
    static std::vector<Standin *> running; // kept alive on purpose: the server's threads never end
    auto *const standin = new Standin;
    running.push_back(standin);
    std::thread([standin] { standin->server.run(); }).detach();
    return standin->server.port();
}

struct Fixture
{
    TestExecutor executor;
    HttpWorkers workers {executor, 2};
    HttpService service {{"127.0.0.1", startStandin()}, std::chrono::seconds(10)};
    HttpTable table {workers, service};
    HttpObjectStore objects {workers, service};
    HttpHostList hosts {workers, service};

    Result<void> write(const std::vector<RowWrite> &writes)
    {
        Result<void> outcome = Error {};
        table.write(writes, [&outcome](const Result<void> &it) { outcome = it; });
        executor.runOne();
        return outcome;
    }
    Result<std::optional<Row>> read(const std::string &key)
    {
        Result<std::optional<Row>> outcome = Error {};
        table.read(key, [&outcome](const auto &it) { outcome = it; });
        executor.runOne();
        return outcome;
    }
    Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit)
    {
        Result<std::vector<Row>> outcome = Error {};
        table.scan(prefix, after, limit, [&outcome](const auto &it) { outcome = it; });
        executor.runOne();
        return outcome;
    }
    Result<void> put(const std::string &name, const std::string &bytes)
    {
        Result<void> outcome = Error {};
        objects.put(name, bytes, [&outcome](const Result<void> &it) { outcome = it; });
        executor.runOne();
        return outcome;
    }
    Result<std::string> get(const std::string &name)
    {
        Result<std::string> outcome = Error {};
        objects.get(name, [&outcome](const Result<std::string> &it) { outcome = it; });
        executor.runOne();
        return outcome;
    }
    void admin(const std::string &path, const std::string &body)
    {
        bool ok = false;
        workers.submit({service.address, "POST", path, {}, body},
                       [&ok](const Result<HttpResponse> &it) { ok = it.has_value() && it.value().status == 200; });
        executor.runOne();
        REQUIRE(ok);
    }
};

std::string allBytes()
{
    std::string bytes;
    for (int n = 0; n < 256 * 40; ++n) {
        bytes.push_back(static_cast<char>(n));
    }
    return bytes;
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "rows hold arbitrary bytes and their versions increase")
{
    REQUIRE(write({{"a", allBytes(), 0}}));
    const auto first = read("a").value();
    REQUIRE(first);
    CHECK(first->value == allBytes());
    REQUIRE(write({{"a", "", first->version}}));
    const auto second = read("a").value();
    CHECK(second->value.empty());
    CHECK(second->version > first->version);
    CHECK_FALSE(read("b").value());
}

TEST_CASE_FIXTURE(Fixture, "a write with a failed condition changes nothing, also after a delete")
{
    REQUIRE(write({{"a", "1", 0}}));
    const auto version = read("a").value()->version;
    CHECK(write({{"b", "1", 0}, {"a", "2", version + 1}}).error().code == ErrorCode::Conflict);
    CHECK_FALSE(read("b").value());
    REQUIRE(write({{"a", std::nullopt, version}}));
    REQUIRE(write({{"a", "1", 0}}));
    CHECK(write({{"a", "3", version}}).error().code == ErrorCode::Conflict);
}

TEST_CASE_FIXTURE(Fixture, "a scan continues after the last key of the previous one")
{
    REQUIRE(write({{"p/1", "1", 0}, {"p/2", "2", 0}, {"p/3", "3", 0}, {"q", "4", 0}}));
    const auto first = scan("p/", "", 2).value();
    REQUIRE(first.size() == 2);
    const auto second = scan("p/", first.back().key, 2).value();
    REQUIRE(second.size() == 1);
    CHECK(second[0].value == "3");
}

TEST_CASE_FIXTURE(Fixture, "a lost answer is Unknown and the write has taken effect")
{
    admin("/admin/faults", R"({"loseNextAnswer": true})");
    CHECK(write({{"a", "1", 0}}).error().code == ErrorCode::Unknown);
    CHECK(read("a").value()->value == "1");
}

TEST_CASE_FIXTURE(Fixture, "when the service is down, reads are Unavailable and writes Unknown")
{
    admin("/admin/faults", R"({"down": true})");
    CHECK(read("a").error().code == ErrorCode::Unavailable);
    CHECK(write({{"a", "1", 0}}).error().code == ErrorCode::Unknown);
    CHECK(get("x").error().code == ErrorCode::Unavailable);
    admin("/admin/faults", "{}");
    CHECK_FALSE(read("a").value());
}

TEST_CASE_FIXTURE(Fixture, "a call to a slow service fails at its timeout")
{
    admin("/admin/faults", R"({"slowMs": 400})");
    HttpTable impatient(workers, {service.address, std::chrono::milliseconds(50)});
    Result<void> outcome = boost::outcome_v2::success();
    impatient.write({{"a", "1", 0}}, [&outcome](const Result<void> &it) { outcome = it; });
    executor.runOne();
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().code == ErrorCode::Unknown);
}

TEST_CASE_FIXTURE(Fixture, "a write to a port without listener is Unavailable, since it was not sent")
{
    std::uint16_t freePort = 0;
    {
        const standin::HttpServer closedServer(0, [](const auto &, auto &) {});
        freePort = closedServer.port();
    }
    HttpTable unreachable(workers, {{"127.0.0.1", freePort}, std::chrono::seconds(10)});
    Result<void> outcome = boost::outcome_v2::success();
    unreachable.write({{"a", "1", 0}}, [&outcome](const Result<void> &it) { outcome = it; });
    executor.runOne();
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().code == ErrorCode::Unavailable);
}

TEST_CASE_FIXTURE(Fixture, "an object is never overwritten")
{
    REQUIRE(put("snapshot/1", allBytes()));
    REQUIRE(put("snapshot/1", "other"));
    CHECK(get("snapshot/1").value() == allBytes());
    CHECK(get("snapshot/2").error().code == ErrorCode::NotFound);
}

TEST_CASE_FIXTURE(Fixture, "the host list distinguishes live and leaving hosts")
{
    admin("/admin/hosts", R"([{"targets": ["h1", "h2"]}, {"targets": ["h3"], "labels": {"state": "leaving"}}])");
    Result<std::vector<ListedHost>> outcome = Error {};
    hosts.fetch([&outcome](const auto &it) { outcome = it; });
    executor.runOne();
    const std::vector<ListedHost> expected {{HostName("h1"), false}, {HostName("h2"), false}, {HostName("h3"), true}};
    CHECK(outcome.value() == expected);
}
