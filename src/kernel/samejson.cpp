#include "almondmill/kernel/samejson.h"

#include <nlohmann/json.hpp>

namespace almondmill {

bool isSameJson(std::string_view first, std::string_view second)
{
    using nlohmann::json;
    const json one = json::parse(first, nullptr, false);
    const json other = json::parse(second, nullptr, false);
    return !one.is_discarded() && !other.is_discarded() && one == other;
}

} // namespace almondmill
