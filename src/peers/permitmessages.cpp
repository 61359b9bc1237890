#include "almondmill/peers/permitmessages.h"

#include "decodemessage.h"
#include "layoutversions.h"
#include "ratelimitfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longer times in messages are read as this one; they are added to points in time.
constexpr milliseconds MaxTime{60'000};

/// Kinds of results in a reply.
constexpr int Granted = 0;
constexpr int Denied = 1;
constexpr int OtherIssuer = 2;

/// Encodes a result as its kind and its time.
struct ResultFields
{
    json operator()(const PermitGranted &result) const
    {
        return json::array({Granted, result.usableIn.count()});
    }
    json operator()(const PermitDenied &result) const
    {
        return json::array({Denied, result.askAgainIn.count()});
    }
    json operator()(const NotIssuer &) const { return json::array({OtherIssuer, 0}); }
};

milliseconds decodeTime(const json &field)
{
    return std::clamp(milliseconds(field.get<std::int64_t>()), milliseconds(0), MaxTime);
}

PermitResult decodeResult(const json &fields)
{
    const auto kind = fields.at(0).get<int>();
    const milliseconds time = decodeTime(fields.at(1));
    if (kind == Granted)
        return PermitGranted{time};
    if (kind == Denied)
        return PermitDenied{time};
    return NotIssuer{};
}

std::string toBytes(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

} // namespace

std::string encodePermit(const PermitRequest &request, SteadyTime bootNow)
{
    return toBytes(json::array({layout::PermitRequest, request.id, request.maxWait.count(),
                                encodeRateLimit(request.known, bootNow)}));
}

std::string encodePermit(const PermitReply &reply, SteadyTime bootNow)
{
    return toBytes(
            json::array({layout::PermitReply, reply.id, std::visit(ResultFields(), reply.result),
                         encodeRateLimit(reply.known, bootNow)}));
}

std::string encodePermit(const PermitReturn &returned)
{
    return toBytes(json::array({layout::PermitReturn, returned.endpoint}));
}

std::optional<PermitRequest> decodePermitRequest(std::string_view bytes, SteadyTime bootNow)
{
    return decodeMessage(bytes, layout::PermitRequest, [bootNow](const json &fields) {
        return PermitRequest{fields.at(1).get<std::uint32_t>(), decodeTime(fields.at(2)),
                             decodeRateLimit(fields.at(3), bootNow)};
    });
}

std::optional<PermitReply> decodePermitReply(std::string_view bytes, SteadyTime bootNow)
{
    return decodeMessage(bytes, layout::PermitReply, [bootNow](const json &fields) {
        return PermitReply{fields.at(1).get<std::uint32_t>(), decodeResult(fields.at(2)),
                           decodeRateLimit(fields.at(3), bootNow)};
    });
}

std::optional<PermitReturn> decodePermitReturn(std::string_view bytes)
{
    return decodeMessage(bytes, layout::PermitReturn, [](const json &fields) {
        return PermitReturn{fields.at(1).get<std::uint64_t>()};
    });
}

} // namespace almondmill
