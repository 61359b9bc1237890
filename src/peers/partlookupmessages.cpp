#include "almondmill/peers/partlookupmessages.h"

#include "decodemessage.h"
#include "layoutversions.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Bound of the relative times in a reply, well beyond the time for which parts stay cached.
constexpr milliseconds MaxRelativeTime{3'600'000};

std::int64_t millisecondsFrom(SteadyTime now, SteadyTime time)
{
    const auto relative = std::chrono::duration_cast<milliseconds>(time - now);
    return std::clamp(relative, -MaxRelativeTime, MaxRelativeTime).count();
}

SteadyTime timeAfter(SteadyTime now, const json &relativeMs)
{
    const milliseconds relative(relativeMs.get<std::int64_t>());
    return now + std::clamp(relative, -MaxRelativeTime, MaxRelativeTime);
}

json encodeHolder(const PartLocations::Holder &holder, SteadyTime now)
{
    return json::array({holder.endpoint, millisecondsFrom(now, holder.availableAt),
                        millisecondsFrom(now, holder.lastUsedAt)});
}

PartLocations::Holder decodeHolder(const json &fields, SteadyTime now)
{
    return {fields.at(0).get<std::uint32_t>(), timeAfter(now, fields.at(1)),
            std::min(now, timeAfter(now, fields.at(2)))};
}

json encodeLocation(const PartLocations::Location &location, SteadyTime now)
{
    json fields = json::array({encodeHolder(location.current, now), nullptr, nullptr});
    if (location.previous)
        fields[1] = encodeHolder(*location.previous, now);
    if (location.saved)
        fields[2] = json::array(
                {location.saved->store, millisecondsFrom(now, location.saved->availableAt)});
    return fields;
}

PartLocations::Location decodeLocation(const json &fields, SteadyTime now)
{
    PartLocations::Location location;
    location.current = decodeHolder(fields.at(0), now);
    if (!fields.at(1).is_null())
        location.previous = decodeHolder(fields.at(1), now);
    const json &saved = fields.at(2);
    if (!saved.is_null())
        location.saved = {saved.at(0).get<std::uint32_t>(), timeAfter(now, saved.at(1))};
    return location;
}

std::string toBytes(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

} // namespace

std::string encodePartLookup(const PartLookupRequest &request)
{
    return toBytes(json::array({layout::PartLookupRequest, request.id, request.part}));
}

std::string encodePartLookup(const PartLookupReply &reply, SteadyTime now)
{
    json fields = json::array({layout::PartLookupReply, reply.id, reply.part, nullptr});
    if (reply.location)
        fields[3] = encodeLocation(*reply.location, now);
    return toBytes(fields);
}

std::optional<PartLookupRequest> decodePartLookupRequest(std::string_view bytes)
{
    return decodeMessage(bytes, layout::PartLookupRequest, [](const json &fields) {
        return PartLookupRequest{fields.at(1).get<std::uint32_t>(), fields.at(2).get<PartKey>()};
    });
}

std::optional<PartLookupReply> decodePartLookupReply(std::string_view bytes, SteadyTime now)
{
    return decodeMessage(bytes, layout::PartLookupReply, [now](const json &fields) {
        PartLookupReply reply{fields.at(1).get<std::uint32_t>(), fields.at(2).get<PartKey>(), {}};
        if (!fields.at(3).is_null())
            reply.location = decodeLocation(fields.at(3), now);
        return reply;
    });
}

} // namespace almondmill
