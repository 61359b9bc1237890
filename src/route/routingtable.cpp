#include "almondmill/route/routingtable.h"
#include "almondmill/kernel/abslview.h"

#include <algorithm>

namespace almondmill {

namespace {

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool hasLongerPrefix(const Route *first, const Route *second)
{
    return first->pathPrefix.size() > second->pathPrefix.size();
}

} // namespace

RoutingTable::RoutingTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), hasLongerPrefix);
    for (const KeyedAccount &account : m_configuration.accounts) {
        for (const std::string &key : account.keys)
            m_accountsByKey[key] = &account;
    }
    for (const RoutedService &service : m_configuration.services)
        m_servicesByName[service.name] = &service;
}

const Route *RoutingTable::match(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(abslView(withoutPort(host)));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const Route *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix)
            return route;
    }
    return nullptr;
}

const KeyedAccount *RoutingTable::accountOf(std::string_view key) const
{
    const auto found = m_accountsByKey.find(abslView(key));
    return found == m_accountsByKey.end() ? nullptr : found->second;
}

const RoutedService *RoutingTable::service(std::string_view name) const
{
    const auto found = m_servicesByName.find(abslView(name));
    return found == m_servicesByName.end() ? nullptr : found->second;
}

const KvCacheStore *RoutingTable::kvCacheStore() const
{
    for (const RoutedService &service : m_configuration.services) {
        if (service.kvCacheStore)
            return &*service.kvCacheStore;
    }
    return nullptr;
}

const std::string &RoutingTable::serviceFor(const Route &route, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.shares)
        total += share.weight;
    if (total == 0)
        return route.shares.front().service;
    std::uint64_t point = requestHash % total;
    for (const ServiceShare &share : route.shares) {
        if (point < share.weight)
            return share.service;
        point -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace almondmill
