#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("model");

EngineRecord engine(const std::string &name, bool isLeaving = false)
{
    EngineRecord it;
    it.name = EngineName(name);
    it.service = service;
    it.isLeaving = isLeaving;
    return it;
}

} // namespace

TEST_CASE("an engine gets no new requests as soon as it is leaving or removed")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.replace({engine("a"), engine("b"), engine("c")}, clock.now());
    directory.put(engine("a", true));
    directory.remove(EngineName("b"), clock.now());
    REQUIRE(directory.ofService(service).size() == 1);
    CHECK(directory.ofService(service).front()->name == EngineName("c"));
    CHECK(directory.ofService(ServiceName("other")).empty());
    const std::vector<EngineName> dropped {EngineName("a"), EngineName("c")};
    CHECK(directory.replace({}, clock.now()) == dropped);
    CHECK(directory.size() == 0);
}

TEST_CASE("engines whose registrations expired during a store outage are dropped only after the timeout")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.replace({engine("a"), engine("b"), engine("leaving", true)}, clock.now());
    directory.storeFailed();
    clock.advance(9s);
    directory.storeAnswered(clock.now());
    CHECK(directory.replace({}, clock.now()) == std::vector<EngineName> {EngineName("leaving")});
    CHECK(directory.ofService(service).size() == 2);
    CHECK(directory.find(EngineName("leaving")) == nullptr);
    clock.advance(1900ms);
    CHECK(directory.expire(clock.now()).empty());
    directory.put(engine("a"));
    clock.advance(200ms);
    CHECK(directory.expire(clock.now()) == std::vector<EngineName> {EngineName("b")});
    CHECK(directory.ofService(service).size() == 1);
    directory.remove(EngineName("a"), clock.now());
    CHECK(directory.size() == 0);
}
