#include "monsoonward/dispatch/routetable.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.rfind(':')));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) { return std::tolower(it); });
    return text;
}

} // namespace

RouteTable::RouteTable(ServingConfigurationPtr configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &it : m_configuration->routes) {
        m_routes.emplace(normalizedHost(it.host) + it.prefix, &it);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    auto key = normalizedHost(host);
    const auto hostSize = key.size();
    key += path;
    for (auto slash = key.rfind('/'); slash != std::string::npos && slash >= hostSize; slash = key.rfind('/')) {
        key.resize(slash + 1);
        const auto it = m_routes.find(key);
        if (it != m_routes.end()) {
            return it->second;
        }
        key.pop_back();
    }
    return nullptr;
}

const ServiceName &serviceFor(const Route &route, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (const auto &it : route.services) {
        total += it.weight;
    }
    auto remaining = total == 0 ? 0 : hash % total;
    for (const auto &it : route.services) {
        if (remaining < it.weight) {
            return it.service;
        }
        remaining -= it.weight;
    }
    return route.services.front().service;
}

} // namespace monsoonward
