#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("only complete events are returned, for any division of the bytes")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        EventSplitter splitter;
        std::string complete;
        for (std::size_t n = 0; n < text.size(); n += size) {
            complete += splitter.push(std::string_view(text).substr(n, size));
        }
        CHECK(complete == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(splitter.lastId() == 2);
        CHECK(splitter.isInsideEvent());
        CHECK(splitter.eventCount() == 2);
    }
}

TEST_CASE("a stream continued by another engine repeats no event, and is invalid if one is missing")
{
    EventSplitter splitter;
    splitter.push("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: torn");
    splitter.restart();
    CHECK(splitter.push("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK_FALSE(splitter.isInvalid());
    splitter.restart();
    CHECK(splitter.push("id: 5\ndata: e\n\n").empty());
    CHECK(splitter.isInvalid());
}

TEST_CASE("events with CRLF line ends and without IDs are split")
{
    EventSplitter splitter;
    CHECK(splitter.push("data: a\r\n\r\ndata: b\r\n\r") == "data: a\r\n\r\n");
    CHECK(splitter.push("\n") == "data: b\r\n\r\n");
    CHECK_FALSE(splitter.lastId());
    CHECK_FALSE(splitter.isInsideEvent());
}

TEST_CASE("an event that exceeds the maximum size makes the stream invalid")
{
    EventSplitter splitter;
    splitter.push(std::string(EventSplitter::maxEventBytes + 1, 'x'));
    CHECK(splitter.isInvalid());
}

// Another engine began such a stream anew, and the caller got its data twice.
TEST_CASE("a stream can be continued unless data without an ID was returned before the first ID")
{
    EventSplitter splitter;
    CHECK(splitter.canContinue());
    splitter.push(": comment\n\nretry: 5\n\n");
    CHECK(splitter.canContinue());
    splitter.push("event: x\r\ndata: a\r\n\r\n");
    CHECK_FALSE(splitter.canContinue());
    EventSplitter numbered;
    numbered.push("id: 1\ndata: a\n\ndata: b\n\n");
    CHECK(numbered.canContinue());
}

// A blank line more than the events need was taken for the beginning of an event.
TEST_CASE("blank lines after an event are not the beginning of another one")
{
    for (const std::string rest : {"\n", "\r\n", "\r"}) {
        EventSplitter splitter;
        splitter.push("data: a\n\n" + rest);
        CHECK_FALSE(splitter.isInsideEvent());
        splitter.push("d");
        CHECK(splitter.isInsideEvent());
    }
}
