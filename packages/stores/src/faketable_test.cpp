#include "monsoonward/stores/stores.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("a write whose response is lost takes effect")
{
    FakeTable table;
    table.setNextWriteFault(TableFault::LostResponse);
    std::optional<ErrorCode> code;
    table.write({{"a", "1", 0}}, [&](const Result<void> &result) { code = result.error().code; });
    table.deliver();
    CHECK(code == ErrorCode::Unknown);
    CHECK(table.rows().at("a").value == "1");
}

TEST_CASE("a write with one failed condition changes no row")
{
    FakeTable table;
    table.write({{"a", "1", 0}}, [](const Result<void> &) {});
    std::optional<ErrorCode> code;
    table.write({{"b", "2", 0}, {"a", "2", 0}}, [&](const Result<void> &result) { code = result.error().code; });
    table.deliver();
    CHECK(code == ErrorCode::Conflict);
    CHECK(table.rows().count("b") == 0);
}

TEST_CASE("a write in which a row occurs twice is rejected")
{
    FakeTable table;
    std::optional<ErrorCode> code;
    table.write({{"a", "1", 0}, {"a", "2", 0}}, [&code](const Result<void> &result) { code = result.error().code; });
    table.deliver();
    CHECK(code == ErrorCode::Invalid);
    CHECK(table.rows().empty());
}
