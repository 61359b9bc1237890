#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace almondmill {

/// One accepted version of inventory and rules; immutable once made, with indexes for requests.
class Configuration
{
public:
    /// Builds the indexes. Cost: linear in the number of entries.
    Configuration(std::uint64_t version, Inventory inventory, Rules rules);

    /// Version of the configuration; only grows. Zero: none was accepted yet.
    std::uint64_t version() const { return m_version; }
    const Inventory &inventory() const { return m_inventory; }
    const Rules &rules() const { return m_rules; }

    /// The account whose key hashes to `keySha256`, or null. Constant cost.
    const ClientAccount *accountByKeyHash(const std::string &keySha256) const;

    /// The model of that name, or null. Constant cost.
    const Model *model(const std::string &name) const;

    /// The service with the longest path prefix that `path` starts with, or null.
    const Service *serviceForPath(const std::string &path) const;

private:
    std::uint64_t m_version;
    Inventory m_inventory;
    Rules m_rules;
    absl::flat_hash_map<std::string, std::size_t> m_accountsByKeyHash;
    absl::flat_hash_map<std::string, std::size_t> m_modelsByName;
};

} // namespace almondmill
