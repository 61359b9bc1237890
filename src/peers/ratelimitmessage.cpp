#include "almondmill/peers/ratelimitmessage.h"

#include "decodemessage.h"
#include "layoutversions.h"
#include "ratelimitfields.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using nlohmann::json;

} // namespace

std::string encodeRateLimits(const RateLimitMessage &message, SteadyTime bootNow)
{
    json reports = json::array();
    for (const RateLimitReport &report : message.reports)
        reports.push_back(encodeRateLimit(report, bootNow));
    const json fields = json::array({layout::RateLimit, message.origin, message.incarnation,
                                     message.sequence, std::move(reports)});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<RateLimitMessage> decodeRateLimits(std::string_view bytes, SteadyTime bootNow)
{
    return decodeMessage(bytes, layout::RateLimit, [bootNow](const json &fields) {
        RateLimitMessage message;
        message.origin = fields.at(1).get<std::string>();
        message.incarnation = fields.at(2).get<std::uint64_t>();
        message.sequence = fields.at(3).get<std::uint64_t>();
        for (const json &report : fields.at(4))
            message.reports.push_back(decodeRateLimit(report, bootNow));
        return message;
    });
}

} // namespace almondmill
