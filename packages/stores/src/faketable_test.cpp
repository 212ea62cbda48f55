#include "monsoonward/stores/stores.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("a write whose answer is lost has taken effect")
{
    FakeTable table;
    table.setNextWriteFault(TableFault::LostResponse);
    std::optional<ErrorCode> code;
    table.write({{"a", "1", 0}}, [&](const Result<void> &result) { code = result.error().code; });
    table.deliver();
    CHECK(code == ErrorCode::Unknown);
    CHECK(table.rows().at("a").value == "1");
}

TEST_CASE("a transaction with one failed condition writes nothing")
{
    FakeTable table;
    table.write({{"a", "1", 0}}, [](const Result<void> &) {});
    std::optional<ErrorCode> code;
    table.write({{"b", "2", 0}, {"a", "2", 0}}, [&](const Result<void> &result) { code = result.error().code; });
    table.deliver();
    CHECK(code == ErrorCode::Conflict);
    CHECK(table.rows().count("b") == 0);
}

TEST_CASE("a write that names a row twice is refused")
{
    FakeTable table;
    std::optional<ErrorCode> code;
    table.write({{"a", "1", 0}, {"a", "2", 0}}, [&code](const Result<void> &result) { code = result.error().code; });
    table.deliver();
    CHECK(code == ErrorCode::Invalid);
    CHECK(table.rows().empty());
}
