#include "countingtable.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("calls of the table service are counted by result, and answers are forwarded unchanged")
{
    FakeTable table;
    VirtualClock clock;
    Metrics metrics;
    CountingTable counting(table, clock, metrics);
    std::optional<ErrorCode> lost;
    std::optional<ErrorCode> conflict;
    table.setNextWriteFault(TableFault::LostResponse);
    counting.write({{"a", "1", 0}}, [&](const Result<void> &it) { lost = it.error().code; });
    counting.write({{"a", "2", 0}}, [&](const Result<void> &it) { conflict = it.error().code; });
    table.deliver();
    CHECK(lost == ErrorCode::Unknown);
    CHECK(conflict == ErrorCode::Conflict);
    const auto text = metrics.text();
    CHECK(text.find("monsoonward_store_calls_total{call=\"write\",result=\"failed\"} 1\n") != std::string::npos);
    CHECK(text.find("monsoonward_store_calls_total{call=\"write\",result=\"ok\"} 1\n") != std::string::npos);
}
