#include "almondmill/request/refusal.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

const char *executedName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

std::string Refusal::json() const
{
    const nlohmann::json error{{"code", code}, {"message", message}};
    const nlohmann::json body{{"error", error}, {"ran", executedName(ran)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace almondmill
