#include "almondmill/config/tomlwriter.h"

namespace almondmill {

namespace {

toml::table entryTable(const DataCentre &dataCentre)
{
    return toml::table{{"name", dataCentre.name}, {"region", dataCentre.region}};
}

toml::table entryTable(const Model &model)
{
    return toml::table{{"name", model.name},
                       {"weights", model.weights},
                       {"block_tokens", model.blockTokens},
                       {"max_concurrent_loads", model.maxConcurrentLoads},
                       {"max_in_flight", model.maxInFlight}};
}

toml::table entryTable(const Service &service)
{
    toml::array calls;
    for (const std::string &call : service.notRepeatable)
        calls.push_back(call);
    return toml::table{{"name", service.name},
                       {"path_prefix", service.pathPrefix},
                       {"not_repeatable", std::move(calls)}};
}

toml::table entryTable(const Endpoint &endpoint)
{
    toml::table table{{"name", endpoint.name},
                      {"address", endpoint.address},
                      {"data_centre", endpoint.dataCentre}};
    if (!endpoint.model.empty())
        table.insert("model", endpoint.model);
    if (!endpoint.service.empty())
        table.insert("service", endpoint.service);
    if (endpoint.checksFencing)
        table.insert("checks_fencing", true);
    if (endpoint.leaving)
        table.insert("leaving", true);
    return table;
}

toml::table entryTable(const ClientAccount &account)
{
    return toml::table{{"name", account.name},
                       {"key_sha256", account.keySha256},
                       {"max_concurrent", account.maxConcurrent},
                       {"prompt_tokens_per_second", account.promptTokensPerSecond},
                       {"share", account.share},
                       {"priority", account.priority == Priority::High ? "high" : "low"}};
}

template<typename Entry>
void insertList(toml::table &table, const char *key, const std::vector<Entry> &entries)
{
    if (entries.empty())
        return;
    toml::array list;
    for (const Entry &entry : entries)
        list.push_back(entryTable(entry));
    table.insert(key, std::move(list));
}

} // namespace

toml::table inventoryTable(const Inventory &inventory)
{
    toml::table table;
    insertList(table, "data_centre", inventory.dataCentres);
    insertList(table, "model", inventory.models);
    insertList(table, "service", inventory.services);
    insertList(table, "endpoint", inventory.endpoints);
    return table;
}

toml::table rulesTable(const Rules &rules)
{
    toml::table table;
    insertList(table, "client_account", rules.clientAccounts);
    table.insert("placement", toml::table{{"policy", rules.placementPolicy}});
    return table;
}

} // namespace almondmill
