#pragma once

#include "almondmill/route/routingconfiguration.h"

#include <absl/container/flat_hash_map.h>

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

    /// The service of that name, or null when there is none.
    const RoutedService *service(std::string_view name) const;

    /// The first configured external KV cache store, or null when there is none.
    const KvCacheStore *kvCacheStore() const;

    /// Selects the service for a request of `route`, in proportion to the weights of its shares.
    /// The same `requestHash` always selects the same service. The route must have at least one
    /// share.
    static const std::string &serviceFor(const Route &route, std::uint64_t requestHash);

private:
    RoutingConfiguration m_configuration;
    absl::flat_hash_map<std::string, std::vector<const Route *>> m_routesByHost;
    absl::flat_hash_map<std::string, const KeyedAccount *> m_accountsByKey;
    absl::flat_hash_map<std::string, const RoutedService *> m_servicesByName;
};

} // namespace almondmill
