#include "almondmill/route/routingtable.h"

#include "almondmill/kernel/abslview.h"
#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

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

/// The suffix depends on the set of isolated accounts, not on their order.
std::string sharedScopeWithout(const std::vector<KeyedAccount> &accounts)
{
    std::uint64_t isolated = 0;
    for (const KeyedAccount &account : accounts) {
        if (account.isolated)
            isolated += hash64(account.name);
    }
    return isolated == 0 ? std::string() : absl::StrCat("~", absl::Hex(isolated));
}

} // namespace

RoutingTable::RoutingTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
    , m_urgency(m_configuration)
    , m_sharedCacheScope(sharedScopeWithout(m_configuration.accounts))
{
    for (const Route &route : m_configuration.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), hasLongerPrefix);
    for (const KeyedAccount &account : m_configuration.accounts) {
        for (const std::string &key : account.keys)
            m_accountsByKey[key] = &account;
    }
    for (const RoutedService &service : m_configuration.services) {
        m_servicesByName[service.name] = &service;
        if (service.kvCacheStore)
            m_kvCacheStores.push_back(&*service.kvCacheStore);
    }
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

const KvCacheStore *RoutingTable::kvCacheStoreFor(std::string_view dataCentre) const
{
    const std::uint64_t place = hash64(dataCentre);
    const auto rank = [&](const KvCacheStore *store) {
        return std::pair(store->dataCentre != dataCentre, mixHash(place, hash64(store->address)));
    };
    const auto nearest =
            std::min_element(m_kvCacheStores.begin(), m_kvCacheStores.end(),
                             [&](const KvCacheStore *first, const KvCacheStore *second) {
                                 return rank(first) < rank(second);
                             });
    return nearest == m_kvCacheStores.end() ? nullptr : *nearest;
}

const KvCacheStore *RoutingTable::kvCacheStoreByHash(std::uint32_t addressHash) const
{
    for (const KvCacheStore *store : m_kvCacheStores) {
        if (shortHash(store->address) == addressHash)
            return store;
    }
    return nullptr;
}

double RoutingTable::kvCacheMegabitsPerSecond() const
{
    double sum = 0;
    for (const KvCacheStore *store : m_kvCacheStores)
        sum += store->linkMegabitsPerSecond;
    return sum;
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
