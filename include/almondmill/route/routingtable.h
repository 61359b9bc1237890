#pragma once

#include "almondmill/route/routingconfiguration.h"
#include "almondmill/route/urgencylevels.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// An immutable routing configuration with indexes for the lookups of each request.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingConfiguration configuration);
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    const RoutingConfiguration &configuration() const { return m_configuration; }
    std::uint64_t version() const { return m_configuration.version; }

    /// The host's route with the longest path prefix that matches `path`, or null when there is
    /// none. A port in `host` is ignored. Complexity: linear in the number of the host's routes.
    const Route *match(std::string_view host, std::string_view path) const;

    /// The account that `key` belongs to, or null when there is none.
    const KeyedAccount *accountOf(std::string_view key) const;

    /// Suffix of the cache scope that all accounts share but the isolated ones; empty when none is
    /// isolated. It depends on which accounts are isolated, so that no other account finds what an
    /// account cached before it was isolated.
    const std::string &sharedCacheScope() const { return m_sharedCacheScope; }

    /// How urgent a request of the route is, for the engines' order of waiting requests.
    const UrgencyLevels &urgency() const { return m_urgency; }

    /// The service of that name, or null when there is none.
    const RoutedService *service(std::string_view name) const;

    /// The external KV cache store that engines of a data centre save to: one in the same data
    /// centre, as transfers within it take half as long, else one that depends on the data centre
    /// only. Null when there is none.
    const KvCacheStore *kvCacheStoreFor(std::string_view dataCentre) const;

    /// The KV cache store with that hash of its address, or null when there is none.
    const KvCacheStore *kvCacheStoreByHash(std::uint32_t addressHash) const;

    /// Capacity of the links of all KV cache stores together.
    double kvCacheMegabitsPerSecond() const;

    /// Selects the service for a request of `route`, in proportion to the weights of its shares.
    /// The same `requestHash` always selects the same service. The route must have at least one
    /// share.
    static const std::string &serviceFor(const Route &route, std::uint64_t requestHash);

private:
    RoutingConfiguration m_configuration;
    UrgencyLevels m_urgency;
    absl::flat_hash_map<std::string, std::vector<const Route *>> m_routesByHost;
    absl::flat_hash_map<std::string, const KeyedAccount *> m_accountsByKey;
    absl::flat_hash_map<std::string, const RoutedService *> m_servicesByName;
    std::vector<const KvCacheStore *> m_kvCacheStores;
    std::string m_sharedCacheScope;
};

} // namespace almondmill
