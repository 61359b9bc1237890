#include "almondmill/orders/leaserecord.h"

#include "almondmill/kernel/error.h"

#include <nlohmann/json.hpp>

namespace almondmill {

using Json = nlohmann::json;

namespace {

constexpr const char *PreviousOrdersAge = "previous_orders_age_ms";
constexpr const char *Era = "era";

std::optional<std::chrono::milliseconds> decodePreviousOrdersAge(const Json &record)
{
    const auto age = record.find(PreviousOrdersAge);
    if (age == record.end())
        return std::nullopt;
    return std::chrono::milliseconds(age->get<std::int64_t>());
}

} // namespace

std::string encodeLease(const LeaseRecord &record)
{
    Json json{{"holder", record.holder},
              {"incarnation", record.incarnation},
              {"fencing", record.fencing},
              {"renewal", record.renewal},
              {"duration_ms", record.duration.count()},
              {"idle_ms", record.idle.count()},
              {"note", record.note}};
    if (record.previousOrdersAge)
        json[PreviousOrdersAge] = record.previousOrdersAge->count();
    if (record.era != 0)
        json[Era] = record.era;
    return json.dump();
}

LeaseRecord decodeLease(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        return {json.at("holder"),
                json.at("incarnation"),
                json.at("fencing"),
                json.at("renewal"),
                std::chrono::milliseconds(json.at("duration_ms").get<std::int64_t>()),
                std::chrono::milliseconds(json.value("idle_ms", std::int64_t(0))),
                json.value("note", std::string()),
                decodePreviousOrdersAge(json),
                json.value(Era, std::uint64_t(0))};
    } catch (const Json::exception &error) {
        throw Error("orders.101", std::string("cannot parse stored lease record: ") + error.what());
    }
}

} // namespace almondmill
