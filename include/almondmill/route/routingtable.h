#pragma once

#include "almondmill/route/routingconfiguration.h"

#include <absl/container/flat_hash_map.h>

#include <string_view>
#include <vector>

namespace almondmill {

/// A routing configuration with the indexes that a request needs. Immutable.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingConfiguration configuration);
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    const RoutingConfiguration &configuration() const { return m_configuration; }
    std::uint64_t version() const { return m_configuration.version; }

    /// The route of that host with the longest prefix that begins `path`; null when there is none.
    /// A port in `host` is ignored. Cost: linear in the host's routes.
    const Route *match(std::string_view host, std::string_view path) const;

    /// The account that holds `key`; null when none does.
    const KeyedAccount *accountOf(std::string_view key) const;

    /// Null when there is no service of that name.
    const RoutedService *service(std::string_view name) const;

    /// The first store of kept KV cache; null when there is none.
    const KeptCache *keptCache() const;

    /// The service that a request of `route` goes to, in proportion to the weights. The same
    /// `requestHash` always gives the same service. The route must have shares.
    static const std::string &serviceFor(const Route &route, std::uint64_t requestHash);

private:
    RoutingConfiguration m_configuration;
    absl::flat_hash_map<std::string, std::vector<const Route *>> m_routesByHost;
    absl::flat_hash_map<std::string, const KeyedAccount *> m_accountsByKey;
    absl::flat_hash_map<std::string, const RoutedService *> m_servicesByName;
};

} // namespace almondmill
