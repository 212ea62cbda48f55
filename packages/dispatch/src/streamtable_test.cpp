#include "monsoonward/dispatch/streamtable.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const TimePoint start {1h};

StreamOrigin origin(EngineBuild build, Duration left = 10s)
{
    return {build, false, start + left};
}

} // namespace

TEST_CASE("a stream is known until its caller's time limit")
{
    StreamTable table;
    const auto stream = streamKeyOf("r1", "c");
    table.record(stream, origin(7), 1, start);
    CHECK(table.find(stream, start + 9s) == origin(7));
    CHECK(!table.find(stream, start + 10s));
    table.expire(start + 9s);
    CHECK(table.size() == 1);
    table.expire(start + 10s);
    CHECK(table.size() == 0);
    table.record(stream, origin(7, 0s), 1, start);
    CHECK(table.size() == 0);
}

TEST_CASE("streams of other requests and other customers are unknown")
{
    StreamTable table;
    table.record(streamKeyOf("r1", "c"), origin(7), 1, start);
    CHECK(!table.find(streamKeyOf("r2", "c"), start));
    CHECK(!table.find(streamKeyOf("r1", "d"), start));
    CHECK(!table.find(streamKeyOf("r1", ""), start));
}

TEST_CASE("a stream told with two builds is doubtful, however often one of them is told again")
{
    StreamTable table;
    const auto stream = streamKeyOf("r1", "c");
    table.record(stream, origin(7), 1, start);
    table.record(stream, origin(7, 20s), 0, start);
    CHECK(table.find(stream, start + 15s) == origin(7, 20s));
    table.record(stream, origin(8), 0, start);
    table.record(stream, origin(7), 0, start);
    CHECK(table.find(stream, start)->isDoubtful);
    CHECK(table.size() == 1);
}

TEST_CASE("streams that began at a run of an engine lately can be doubted")
{
    StreamTable table;
    const auto early = streamKeyOf("r1", "");
    const auto late = streamKeyOf("r2", "");
    const auto elsewhere = streamKeyOf("r3", "");
    table.record(early, origin(7), 1, start);
    table.record(late, origin(7), 1, start + 2s);
    table.record(elsewhere, origin(7), 2, start + 2s);
    CHECK(table.doubt(1, start + 1s) == std::vector {late});
    CHECK(table.doubt(1, start + 1s).empty());
    CHECK(!table.find(early, start)->isDoubtful);
    CHECK(table.find(late, start)->isDoubtful);
    CHECK(!table.find(elsewhere, start)->isDoubtful);
}

TEST_CASE("a full table drops the streams that expire first")
{
    StreamTable table(2);
    table.record(streamKeyOf("r1", ""), origin(7, 5s), 1, start);
    table.record(streamKeyOf("r2", ""), origin(7, 3s), 1, start);
    table.record(streamKeyOf("r3", ""), origin(7, 4s), 1, start);
    CHECK(table.size() == 2);
    CHECK(table.dropped() == 1);
    CHECK(!table.find(streamKeyOf("r2", ""), start));
    CHECK(table.find(streamKeyOf("r3", ""), start));
}

TEST_CASE("engines have one build if service and version of their software are the same")
{
    EngineRecord engine;
    engine.service = ServiceName("s");
    engine.softwareVersion = "v1";
    auto other = engine;
    other.name = EngineName("other");
    other.incarnation = 5;
    CHECK(buildOf(engine) == buildOf(other));
    other.softwareVersion = "v2";
    CHECK(buildOf(engine) != buildOf(other));
    other = engine;
    other.service = ServiceName("t");
    CHECK(buildOf(engine) != buildOf(other));
}
