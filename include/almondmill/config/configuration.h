#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace almondmill {

/// One accepted version of inventory and rules. Immutable after construction; holds the indexes
/// that request handling looks up.
class Configuration
{
public:
    /// Builds the indexes in time linear in the number of entries.
    Configuration(std::uint64_t version, Inventory inventory, Rules rules);

    /// Monotonically increasing version; 0 if no configuration has been accepted yet.
    std::uint64_t version() const { return m_version; }
    const Inventory &inventory() const { return m_inventory; }
    const Rules &rules() const { return m_rules; }

    /// Returns the account whose API key has the SHA-256 `keySha256`, or null. Constant time.
    const ClientAccount *accountByKeyHash(const std::string &keySha256) const;

    /// Returns the model called `name`, or null. Constant time.
    const Model *model(const std::string &name) const;

    /// Returns the service with the longest path prefix that matches `path`, or null.
    const Service *serviceForPath(const std::string &path) const;

private:
    std::uint64_t m_version;
    Inventory m_inventory;
    Rules m_rules;
    absl::flat_hash_map<std::string, std::size_t> m_accountsByKeyHash;
    absl::flat_hash_map<std::string, std::size_t> m_modelsByName;
};

} // namespace almondmill
