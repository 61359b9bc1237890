#include "almondmill/orders/leaserecord.h"

#include "almondmill/kernel/error.h"

#include <nlohmann/json.hpp>

namespace almondmill {

using Json = nlohmann::json;

std::string encodeLease(const LeaseRecord &record)
{
    return Json{{"holder", record.holder},
                {"incarnation", record.incarnation},
                {"fencing", record.fencing},
                {"renewal", record.renewal},
                {"duration_ms", record.duration.count()},
                {"idle_ms", record.idle.count()},
                {"note", record.note}}
            .dump();
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
                json.value("note", std::string())};
    } catch (const Json::exception &error) {
        throw Error("orders.101", std::string("cannot parse stored lease record: ") + error.what());
    }
}

} // namespace almondmill
