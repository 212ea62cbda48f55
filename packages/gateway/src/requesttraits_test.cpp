#include "requesttraits.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoonward;

namespace
{

CallerRequest requestWith(const std::string &target, const std::string &body)
{
    CallerRequest request(boost::beast::http::verb::post, target, 11);
    request.body() = body;
    return request;
}

bool shareTrait(const std::vector<RequestTrait> &a, const std::vector<RequestTrait> &b)
{
    return std::find_first_of(a.begin(), a.end(), b.begin(), b.end()) != a.end();
}

} // namespace

TEST_CASE("requests share the parts of their prompts except the last, whatever their size and order")
{
    const auto first = traitsOf(requestWith("/a", "1"), "5c1e:800,91bd:410,e440:250", "c");
    CHECK(first.size() == 3);
    CHECK(shareTrait(first, traitsOf(requestWith("/b", "2"), "91bd:12,77:1", "d")));
    CHECK(shareTrait(first, traitsOf(requestWith("/b", "2"), "77:1,5c1e:800,8:1", "d")));
    CHECK_FALSE(shareTrait(first, traitsOf(requestWith("/b", "2"), "77:1,e440:250", "c")));
    CHECK_FALSE(shareTrait(first, traitsOf(requestWith("/b", "2"), "e440:250,78:1", "c")));
}

TEST_CASE("a request that comes again shares a trait with the first one, and others of its caller don't")
{
    const auto first = traitsOf(requestWith("/a", "1"), "", "c");
    CHECK(first.size() == 1);
    CHECK(first == traitsOf(requestWith("/a", "1"), "", "c"));
    CHECK_FALSE(shareTrait(first, traitsOf(requestWith("/a", "2"), "", "c")));
    CHECK_FALSE(shareTrait(first, traitsOf(requestWith("/b", "1"), "", "c")));
    CHECK_FALSE(shareTrait(first, traitsOf(requestWith("/a", "1"), "", "d")));
    CHECK_FALSE(shareTrait(first, traitsOf(requestWith("/a1", ""), "", "c")));
}

TEST_CASE("each run of an engine is another one")
{
    EngineRecord engine;
    engine.name = EngineName("e");
    engine.incarnation = 1;
    auto restarted = engine;
    restarted.incarnation = 2;
    CHECK(runOf(engine) == runOf(engine));
    CHECK(runOf(engine) != runOf(restarted));
}
