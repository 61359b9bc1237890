#include "almondmill/request/refusal.h"

#include <nlohmann/json.hpp>

namespace almondmill {

std::string Refusal::json() const
{
    const nlohmann::json error{{"code", code}, {"message", sentence}};
    const nlohmann::json body{{"error", error}, {"ran", ran == Ran::No ? "no" : "unknown"}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace almondmill
