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
    throw Error("config.301",
                "stored configuration: priority must be high or low, got '" + name + "'");
}

/// Sets `value` if the key is present. Keys may be absent because configurations written by older
/// versions lack keys that were added later. The range is checked explicitly because the conversion
/// of nlohmann/json silently wraps integers that do not fit.
void read(const Json &json, const char *key, std::uint32_t &value)
{
    const auto found = json.find(key);
    if (found == json.end())
        return;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > UINT32_MAX)
        throw Error("config.301", std::string("stored configuration: ") + key
                                          + " must be an unsigned 32-bit integer");
    value = found->get<std::uint32_t>();
}

template<typename Value>
void read(const Json &json, const char *key, Value &value)
{
    const auto found = json.find(key);
    if (found != json.end())
        found->get_to(value);
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
    json.at("name").get_to(dataCentre.name);
    read(json, "region", dataCentre.region);
}

static void from_json(const Json &json, Model &model)
{
    json.at("name").get_to(model.name);
    read(json, "weights", model.weights);
    read(json, "blockTokens", model.blockTokens);
    read(json, "maxConcurrentLoads", model.maxConcurrentLoads);
    read(json, "maxInFlight", model.maxInFlight);
}

static void from_json(const Json &json, Service &service)
{
    json.at("name").get_to(service.name);
    read(json, "pathPrefix", service.pathPrefix);
    read(json, "notRepeatable", service.notRepeatable);
}

static void from_json(const Json &json, Endpoint &endpoint)
{
    json.at("name").get_to(endpoint.name);
    read(json, "address", endpoint.address);
    read(json, "dataCentre", endpoint.dataCentre);
    read(json, "model", endpoint.model);
    read(json, "service", endpoint.service);
    read(json, "checksFencing", endpoint.checksFencing);
    read(json, "leaving", endpoint.leaving);
}

static void from_json(const Json &json, ClientAccount &account)
{
    json.at("name").get_to(account.name);
    read(json, "keySha256", account.keySha256);
    read(json, "maxConcurrent", account.maxConcurrent);
    read(json, "promptTokensPerSecond", account.promptTokensPerSecond);
    read(json, "share", account.share);
    account.priority = priorityFromName(json.value("priority", priorityName(account.priority)));
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
