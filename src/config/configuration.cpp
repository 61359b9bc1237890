#include "almondmill/config/configuration.h"

namespace almondmill {

Configuration::Configuration(std::uint64_t version, Inventory inventory, Rules rules)
    : m_version(version)
    , m_inventory(std::move(inventory))
    , m_rules(std::move(rules))
{
    for (std::size_t i = 0; i < m_rules.clientAccounts.size(); ++i)
        m_accountsByKeyHash.emplace(m_rules.clientAccounts[i].keySha256, i);
    for (std::size_t i = 0; i < m_inventory.models.size(); ++i)
        m_modelsByName.emplace(m_inventory.models[i].name, i);
}

const ClientAccount *Configuration::accountByKeyHash(const std::string &keySha256) const
{
    const auto found = m_accountsByKeyHash.find(keySha256);
    return found == m_accountsByKeyHash.end() ? nullptr : &m_rules.clientAccounts[found->second];
}

const Model *Configuration::model(const std::string &name) const
{
    const auto found = m_modelsByName.find(name);
    return found == m_modelsByName.end() ? nullptr : &m_inventory.models[found->second];
}

const Service *Configuration::serviceForPath(const std::string &path) const
{
    const Service *best = nullptr;
    for (const Service &service : m_inventory.services) {
        const bool matches = path.starts_with(service.pathPrefix);
        if (matches && (!best || service.pathPrefix.size() > best->pathPrefix.size()))
            best = &service;
    }
    return best;
}

} // namespace almondmill
