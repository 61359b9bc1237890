#include "almondmill/config/configurationcodec.h"

#include "almondmill/kernel/error.h"

#include <nlohmann/json.hpp>

namespace almondmill {

using Json = nlohmann::json;

namespace {

const char *priorityName(Priority priority)
{
    return priority == Priority::High ? "high" : "low";
}

Priority priorityFromName(const std::string &name)
{
    if (name == "high")
        return Priority::High;
    if (name == "low")
        return Priority::Low;
    throw Error("config.301", "stored configuration: unknown priority");
}

/// A whole number that fits; JSON conversions would wrap it silently.
std::uint32_t number(const Json &json, const char *key)
{
    const Json &value = json.at(key);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > UINT32_MAX)
        throw Error("config.301", std::string("stored configuration: bad number at ") + key);
    return value.get<std::uint32_t>();
}

} // namespace

static void to_json(Json &json, const DataCentre &dataCentre)
{
    json = {{"name", dataCentre.name}, {"region", dataCentre.region}};
}

static void to_json(Json &json, const Model &model)
{
    json = {{"name", model.name},
            {"weights", model.weights},
            {"blockTokens", model.blockTokens},
            {"maxConcurrentLoads", model.maxConcurrentLoads},
            {"maxInFlight", model.maxInFlight}};
}

static void to_json(Json &json, const Service &service)
{
    json = {{"name", service.name},
            {"pathPrefix", service.pathPrefix},
            {"notRepeatable", service.notRepeatable}};
}

static void to_json(Json &json, const Endpoint &endpoint)
{
    json = {{"name", endpoint.name},
            {"address", endpoint.address},
            {"dataCentre", endpoint.dataCentre},
            {"model", endpoint.model},
            {"service", endpoint.service},
            {"checksFencing", endpoint.checksFencing},
            {"leaving", endpoint.leaving}};
}

static void to_json(Json &json, const ClientAccount &account)
{
    json = {{"name", account.name},
            {"keySha256", account.keySha256},
            {"maxConcurrent", account.maxConcurrent},
            {"promptTokensPerSecond", account.promptTokensPerSecond},
            {"share", account.share},
            {"priority", priorityName(account.priority)}};
}

static void from_json(const Json &json, DataCentre &dataCentre)
{
    dataCentre = {json.at("name"), json.at("region")};
}

static void from_json(const Json &json, Model &model)
{
    model = {json.at("name"), json.at("weights"), number(json, "blockTokens"),
             number(json, "maxConcurrentLoads"), number(json, "maxInFlight")};
}

static void from_json(const Json &json, Service &service)
{
    service = {json.at("name"), json.at("pathPrefix"), json.at("notRepeatable")};
}

static void from_json(const Json &json, Endpoint &endpoint)
{
    endpoint.name = json.at("name");
    endpoint.address = json.at("address");
    endpoint.dataCentre = json.at("dataCentre");
    endpoint.model = json.at("model");
    endpoint.service = json.at("service");
    endpoint.checksFencing = json.at("checksFencing");
    endpoint.leaving = json.at("leaving");
}

static void from_json(const Json &json, ClientAccount &account)
{
    account.name = json.at("name");
    account.keySha256 = json.at("keySha256");
    account.maxConcurrent = number(json, "maxConcurrent");
    account.promptTokensPerSecond = number(json, "promptTokensPerSecond");
    account.share = number(json, "share");
    account.priority = priorityFromName(json.at("priority"));
}

std::string encodeEntries(const Inventory &inventory, const Rules &rules)
{
    const Json json{{"dataCentres", inventory.dataCentres},
                    {"models", inventory.models},
                    {"services", inventory.services},
                    {"endpoints", inventory.endpoints},
                    {"clientAccounts", rules.clientAccounts}};
    return json.dump();
}

void decodeEntries(const std::string &text, Inventory &inventory, Rules &rules)
{
    try {
        const Json json = Json::parse(text);
        json.at("dataCentres").get_to(inventory.dataCentres);
        json.at("models").get_to(inventory.models);
        json.at("services").get_to(inventory.services);
        json.at("endpoints").get_to(inventory.endpoints);
        json.at("clientAccounts").get_to(rules.clientAccounts);
    } catch (const Json::exception &error) {
        throw Error("config.301", std::string("stored configuration: ") + error.what());
    }
}

} // namespace almondmill
