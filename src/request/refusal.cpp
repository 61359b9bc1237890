#include "almondmill/request/refusal.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

const char *executedName(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

std::string Refusal::json() const
{
    const nlohmann::json error{{"code", code}, {"message", message}};
    const nlohmann::json body{{"error", error}, {"ran", executedName(executed)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace almondmill
