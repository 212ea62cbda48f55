#include "prefixindex.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("only leading blocks without a gap count as cached")
{
    PrefixIndex index(10);
    index.markUsed({1, 2, 3});
    CHECK(index.countLeading({1, 2, 3, 4}) == 3);
    index.remove(2);
    CHECK(index.countLeading({1, 2, 3, 4}) == 1);
    CHECK(index.countLeading({9, 1}) == 0);
}

TEST_CASE("the index is bounded and evicts the least recently used block")
{
    PrefixIndex index(3);
    index.markUsed({1, 2});
    index.markUsed({3});
    index.markUsed({1});
    index.markUsed({4});
    CHECK(index.size() == 3);
    CHECK_FALSE(index.contains(2));
    CHECK(index.contains(1));
    index.setMaxBlocks(1);
    CHECK(index.size() == 1);
    CHECK(index.contains(4));
}
