#include "almondmill/config/inventoryparser.h"

#include "almondmill/config/tablereader.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/kernel/findings.h"

namespace almondmill {

namespace {

constexpr std::uint32_t MostBlockTokens = 1U << 20U;
constexpr std::uint32_t MostLoads = 1000;

DataCentre readDataCentre(TableReader &reader)
{
    return {reader.requiredString("name"), reader.optionalString("region", "default")};
}

Model readModel(TableReader &reader)
{
    Model model;
    model.name = reader.requiredString("name");
    model.weights = reader.requiredString("weights");
    model.blockTokens = reader.number("block_tokens", model.blockTokens, 1, MostBlockTokens);
    model.maxConcurrentLoads =
            reader.number("max_concurrent_loads", model.maxConcurrentLoads, 1, MostLoads);
    return model;
}

Service readService(TableReader &reader)
{
    Service service;
    service.name = reader.requiredString("name");
    service.pathPrefix = reader.requiredString("path_prefix");
    service.notRepeatable = reader.strings("not_repeatable");
    return service;
}

Endpoint readEndpoint(TableReader &reader)
{
    Endpoint endpoint;
    endpoint.name = reader.requiredString("name");
    endpoint.address = reader.requiredString("address");
    endpoint.dataCentre = reader.requiredString("data_centre");
    endpoint.model = reader.optionalString("model", {});
    endpoint.service = reader.optionalString("service", {});
    endpoint.checksFencing = reader.boolean("checks_fencing", false);
    endpoint.leaving = reader.boolean("leaving", false);
    if (endpoint.model.empty() == endpoint.service.empty())
        reader.report("config.210", "name", "must name either a model or a service");
    return endpoint;
}

} // namespace

Inventory parseInventory(const std::string &text, const std::string &file, Findings &findings)
{
    const toml::table table = parseToml(text, file, findings);
    TableReader reader(table, file, {}, findings);
    Inventory inventory;
    reader.eachTable("data_centre", [&](TableReader &item) {
        inventory.dataCentres.push_back(readDataCentre(item));
    });
    reader.eachTable("model",
                     [&](TableReader &item) { inventory.models.push_back(readModel(item)); });
    reader.eachTable("service",
                     [&](TableReader &item) { inventory.services.push_back(readService(item)); });
    reader.eachTable("endpoint",
                     [&](TableReader &item) { inventory.endpoints.push_back(readEndpoint(item)); });
    reader.reportUnknownKeys();
    return inventory;
}

} // namespace almondmill
