#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

Route route(const std::string &host, const std::string &prefix)
{
    Route it;
    it.name = host + prefix;
    it.host = host;
    it.prefix = prefix;
    it.services = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
    return it;
}

RouteTable makeTable()
{
    auto configuration = std::make_shared<ServingConfiguration>();
    configuration->routes = {route("shop", "/"), route("shop", "/a/"), route("shop", "/a/b/"), route("other", "/a/")};
    return RouteTable(configuration);
}

std::string routeNameFor(const std::string &host, const std::string &path)
{
    static const auto table = makeTable();
    const auto *it = table.find(host, path);
    return it == nullptr ? "" : it->name;
}

} // namespace

TEST_CASE("the route with the longest matching prefix is found")
{
    CHECK(routeNameFor("shop", "/a/b/c") == "shop/a/b/");
    CHECK(routeNameFor("shop", "/a/b/") == "shop/a/b/");
    CHECK(routeNameFor("shop", "/a/b") == "shop/a/");
    CHECK(routeNameFor("shop", "/x") == "shop/");
    CHECK(routeNameFor("shop", "/a/c?d=/a/b/") == "shop/a/");
    CHECK(routeNameFor("SHOP:8080", "/a/c") == "shop/a/");
    CHECK(routeNameFor("other", "/a/x") == "other/a/");
    CHECK(routeNameFor("other", "/x").empty());
    CHECK(routeNameFor("unknown", "/a/").empty());
    CHECK(routeNameFor("shop", "").empty());
}

TEST_CASE("services get requests in proportion to their weights")
{
    const auto it = route("shop", "/");
    unsigned toA = 0;
    for (unsigned hash = 0; hash < 1000; ++hash) {
        toA += serviceFor(it, hash) == ServiceName("a") ? 1 : 0;
    }
    CHECK(toA == 900);
    auto unweighted = it;
    unweighted.services = {{ServiceName("a"), 0}};
    CHECK(serviceFor(unweighted, 7) == ServiceName("a"));
}
