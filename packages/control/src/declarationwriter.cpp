#include "monsoonward/control/declarations.h"

#include <array>
#include <charconv>

namespace monsoonward
{

namespace
{

std::string numberText(double n)
{
    std::array<char, 32> buf {};
    const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), n);
    return {buf.data(), result.ptr};
}

std::string addressText(const Address &address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::string durationText(Duration duration)
{
    const bool isWhole = duration % std::chrono::milliseconds(1) == Duration::zero();
    return isWhole ? std::to_string(duration / std::chrono::milliseconds(1)) + " ms"
                   : std::to_string(duration.count()) + " ns";
}

/// Writes INI sections. Omits keys whose value is empty.
class DeclarationWriter
{
public:
    void section(const std::string &kind, const std::string &name)
    {
        m_text += (m_text.empty() ? "[" : "\n[") + kind + " " + name + "]\n";
    }
    void key(const std::string &name, const std::string &value)
    {
        if (!value.empty()) {
            m_text += name + " = " + value + "\n";
        }
    }
    void address(const std::string &name, const Address &address)
    {
        key(name, address.ip.empty() ? "" : addressText(address));
    }
    void limit(const std::string &name, double n)
    {
        key(name, n == 0 ? "" : numberText(n));
    }
    void state(ServingState state)
    {
        key("state", state == ServingState::Draining ? "draining" : "");
    }
    template<class List, class Text>
    void list(const std::string &name, const List &list, Text text)
    {
        std::string value;
        for (const auto &it : list) {
            value += (value.empty() ? "" : ", ") + text(it);
        }
        key(name, value);
    }
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

void write(DeclarationWriter &out, const RegionSpec &it)
{
    out.section("region", it.name.text());
}

void write(DeclarationWriter &out, const DataCentreSpec &it)
{
    out.section("data-centre", it.name.text());
    out.key("region", it.region.text());
}

void write(DeclarationWriter &out, const HostSpec &it)
{
    out.section("host", it.name.text());
    out.key("data-centre", it.dataCentre.text());
    out.key("role", it.role == HostRole::Entry ? "entry" : "target");
    out.address("peer", it.peerAddress);
    out.address("admin", it.adminAddress);
    out.state(it.state);
}

void write(DeclarationWriter &out, const TierSpec &it)
{
    out.section("tier", std::to_string(it.tier.level()));
    out.key("name", it.name);
    out.key("default-deadline", durationText(it.defaultDeadline));
}

void write(DeclarationWriter &out, const ServiceSpec &it)
{
    out.section("service", it.name.text());
    out.key("kind", it.kind == ServiceKind::Model ? "model" : "plain");
    out.key("model", it.model.text());
    out.key("version", it.version);
    out.list("repeatable", it.repeatableCalls, [](const auto &call) { return call.method + " " + call.pathPrefix; });
}

void write(DeclarationWriter &out, const TargetSpec &it)
{
    out.section("target", it.name.text());
    out.key("host", it.host.text());
    out.key("service", it.service.text());
    out.state(it.state);
    out.key("checks-fencing", it.checksFencing ? "yes" : "");
}

void write(DeclarationWriter &out, const EngineSpec &it)
{
    out.section("engine", it.name.text());
    out.key("target", it.target.text());
    out.address("address", it.address);
    out.key("generation", it.generation);
    out.key("max-batch", it.maxBatch == 0 ? "" : std::to_string(it.maxBatch));
    out.key("cache-tokens", it.cacheTokens == 0 ? "" : std::to_string(it.cacheTokens));
}

void write(DeclarationWriter &out, const CustomerSpec &it)
{
    out.section("customer", it.name.text());
    out.list("key-hashes", it.keyHashes, [](const auto &hash) { return hash; });
    out.list("tiers", it.tiers, [](const auto &tier) { return std::to_string(tier.level()); });
    out.key("weight", it.weight == 1 ? "" : numberText(it.weight));
    out.limit("requests-in-progress", it.limits.requestsInProgress);
    out.limit("tokens-in-progress", it.limits.tokensInProgress);
    out.limit("requests-per-second", it.limits.requestsPerSecond);
    out.limit("tokens-per-second", it.limits.tokensPerSecond);
}

void write(DeclarationWriter &out, const OperatorSpec &it)
{
    out.section("operator", it.name);
    out.key("token-hash", it.tokenHash);
    out.list("rights", it.rights, [](OperatorRight right) -> std::string {
        return right == OperatorRight::Read ? "read" : right == OperatorRight::Plan ? "plan" : "confirm";
    });
}

template<class List>
void writeAll(DeclarationWriter &out, const List &list)
{
    for (const auto &it : list) {
        write(out, it);
    }
}

} // namespace

std::string writeDeclarations(const Configuration &configuration)
{
    DeclarationWriter out;
    writeAll(out, configuration.regions);
    writeAll(out, configuration.dataCentres);
    writeAll(out, configuration.hosts);
    writeAll(out, configuration.tiers);
    writeAll(out, configuration.services);
    writeAll(out, configuration.targets);
    writeAll(out, configuration.engines);
    writeAll(out, configuration.customers);
    writeAll(out, configuration.operators);
    return out.text();
}

} // namespace monsoonward
