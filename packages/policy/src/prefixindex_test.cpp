#include "prefixindex.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("only an unbroken beginning of a prompt counts as held")
{
    PrefixIndex index(10);
    index.use({1, 2, 3});
    CHECK(index.leading({1, 2, 3, 4}) == 3);
    index.remove(2);
    CHECK(index.leading({1, 2, 3, 4}) == 1);
    CHECK(index.leading({9, 1}) == 0);
}

TEST_CASE("the index is bounded and forgets the least recently used")
{
    PrefixIndex index(3);
    index.use({1, 2});
    index.use({3});
    index.use({1});
    index.use({4});
    CHECK(index.size() == 3);
    CHECK_FALSE(index.holds(2));
    CHECK(index.holds(1));
    index.setMaxBlocks(1);
    CHECK(index.size() == 1);
    CHECK(index.holds(4));
}
