#include "support/configurations.h"

#include "almondmill/config/sha256.h"

namespace almondmill::test {

Inventory makeInventory(std::size_t endpoints)
{
    constexpr std::size_t DataCentres = 4;
    constexpr std::size_t Models = 4;
    constexpr std::size_t HostsPerNet = 250;
    Inventory inventory;
    for (std::size_t i = 0; i < DataCentres; ++i)
        inventory.dataCentres.push_back({"dc-" + std::to_string(i), "default"});
    for (std::size_t i = 0; i < Models; ++i) {
        Model model;
        model.name = "model-" + std::to_string(i);
        model.weights = "w1";
        inventory.models.push_back(model);
    }
    for (std::size_t i = 0; i < endpoints; ++i) {
        Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(i);
        endpoint.address = "10.0." + std::to_string(i / HostsPerNet) + "."
                           + std::to_string(i % HostsPerNet + 1) + ":8000";
        endpoint.dataCentre = "dc-" + std::to_string(i % DataCentres);
        endpoint.model = "model-" + std::to_string(i % Models);
        inventory.endpoints.push_back(endpoint);
    }
    return inventory;
}

Rules makeRules(std::size_t accounts)
{
    Rules rules;
    rules.placementPolicy = "rendezvous";
    for (std::size_t i = 0; i < accounts; ++i) {
        ClientAccount account;
        account.name = "account-" + std::to_string(i);
        account.keySha256 = sha256Hex("key-" + std::to_string(i));
        rules.clientAccounts.push_back(account);
    }
    return rules;
}

} // namespace almondmill::test
