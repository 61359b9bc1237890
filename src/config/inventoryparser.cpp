#include "almondmill/config/inventoryparser.h"

#include "almondmill/config/configurationlimits.h"
#include "almondmill/config/tablereader.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/kernel/findings.h"

namespace almondmill {

namespace {

DataCentre readDataCentre(TableReader &reader)
{
    return {reader.requiredString("name"), reader.optionalString("region", "default")};
}

Model readModel(TableReader &reader)
{
    Model model;
    model.name = reader.requiredString("name");
    model.weights = reader.requiredString("weights");
    model.blockTokens = reader.number("block_tokens", model.blockTokens, 1, limits::MaxBlockTokens);
    model.maxConcurrentLoads = reader.number("max_concurrent_loads", model.maxConcurrentLoads, 1,
                                             limits::MaxConcurrentLoads);
    model.maxInFlight = reader.number("max_in_flight", model.maxInFlight, 1, limits::MaxInFlight);
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
    return endpoint;
}

} // namespace

Inventory parseInventory(const std::string &text, const std::string &file, Findings &findings)
{
    return readInventory(parseToml(text, file, findings), file, findings);
}

Inventory readInventory(const toml::table &table, const std::string &file, Findings &findings)
{
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
