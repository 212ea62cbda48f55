#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <memory>
#include <numeric>

using namespace monsoonward;

namespace
{

EngineRecord engineOf(const std::string &service, std::uint32_t slots, const std::string &name = "e")
{
    EngineRecord engine;
    engine.name = EngineName(name);
    engine.service = ServiceName(service);
    engine.slots = slots;
    return engine;
}

/// Gateways that know each other, and a service "model" whose engines accept so many connections.
class Gateways
{
public:
    Gateways(std::size_t count, std::uint32_t accepted)
    {
        ServingConfiguration configuration;
        configuration.services.push_back({ServiceName("model"), accepted, true});
        std::vector<HostName> hosts;
        for (std::size_t n = 0; n < count; ++n) {
            hosts.emplace_back("g" + std::to_string(n));
        }
        for (const auto &it : hosts) {
            m_fleets.push_back(std::make_unique<FleetView>(it));
            m_fleets.back()->setMembers(hosts, {});
            m_divisions.emplace_back(it, *m_fleets.back());
            m_divisions.back().setMembers(hosts);
            m_divisions.back().configure(configuration);
        }
    }

    std::vector<std::size_t> shares(const EngineRecord &engine) const
    {
        std::vector<std::size_t> shares;
        for (const auto &it : m_divisions) {
            shares.push_back(it.ownIdleShare(engine));
        }
        return shares;
    }

private:
    std::vector<std::unique_ptr<FleetView>> m_fleets;
    std::vector<ConnectionDivision> m_divisions;
};

std::size_t sumOf(const std::vector<std::size_t> &shares)
{
    return std::accumulate(shares.begin(), shares.end(), std::size_t {0});
}

} // namespace

TEST_CASE("few gateways keep as many idle connections as they may")
{
    CHECK(Gateways(5, 310).shares(engineOf("model", 10)) == std::vector<std::size_t>(5, ConnectionDivision::maxIdle));
}

// Each of many gateways kept as many as one of few, and the engine reset what it didn't accept.
TEST_CASE("many gateways together keep what an engine accepts beside the requests in progress")
{
    CHECK(sumOf(Gateways(68, 570).shares(engineOf("model", 4))) == 570 - 8);
    CHECK(sumOf(Gateways(304, 570).shares(engineOf("model", 4))) == 570 - 8);
    CHECK(sumOf(Gateways(24, 12).shares(engineOf("model", 4))) == 12 - 6);
}

TEST_CASE("the shares of one engine differ by at most one connection")
{
    for (const auto it : Gateways(68, 570).shares(engineOf("model", 4))) {
        CHECK((it == 8 || it == 9));
    }
}

TEST_CASE("the connections that are left over go to other gateways for another engine")
{
    const Gateways gateways(24, 12);
    CHECK(gateways.shares(engineOf("model", 4, "e1")) != gateways.shares(engineOf("model", 4, "e2")));
}

TEST_CASE("an engine that accepts fewer connections than it has slots leaves half of them for idle ones")
{
    CHECK(sumOf(Gateways(2, 6).shares(engineOf("model", 16))) == 3);
}

TEST_CASE("without a stated number a gateway keeps as many idle connections as it may")
{
    CHECK(Gateways(100, 0).shares(engineOf("model", 4)).front() == ConnectionDivision::maxIdle);
    CHECK(Gateways(100, 50).shares(engineOf("other", 4)).front() == ConnectionDivision::maxIdle);
}
