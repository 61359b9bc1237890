#include "almondmill/config/configurationcodec.h"

#include "almondmill/kernel/error.h"

#include <nlohmann/json.hpp>

namespace almondmill {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DataCentre, name, region)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Model, name, weights, blockTokens, maxConcurrentLoads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Service, name, pathPrefix, notRepeatable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, name, address, dataCentre, model, service,
                                   checksFencing, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Inventory, dataCentres, models, services, endpoints)
NLOHMANN_JSON_SERIALIZE_ENUM(Priority, {{Priority::High, "high"}, {Priority::Low, "low"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClientAccount, name, keySha256, maxConcurrent,
                                   promptTokensPerSecond, share, priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Rules, clientAccounts, placementPolicy)

namespace {

template<typename Value>
Value decode(const std::string &text)
{
    try {
        return Json::parse(text).get<Value>();
    } catch (const Json::exception &error) {
        throw Error("config.301", std::string("stored configuration: ") + error.what());
    }
}

} // namespace

std::string encodeInventory(const Inventory &inventory)
{
    return Json(inventory).dump();
}

std::string encodeRules(const Rules &rules)
{
    return Json(rules).dump();
}

Inventory decodeInventory(const std::string &text)
{
    return decode<Inventory>(text);
}

Rules decodeRules(const std::string &text)
{
    return decode<Rules>(text);
}

} // namespace almondmill
