#include "almondmill/peers/quotamessages.h"

#include "decodemessage.h"
#include "layoutversions.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace almondmill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longer times in messages are read as this one; they are added to points in time.
constexpr milliseconds MaxTime{60'000};

std::string toBytes(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::vector<std::uint32_t> decodeAmounts(const json &array)
{
    std::vector<std::uint32_t> amounts;
    for (const json &amount : array) {
        if (amounts.size() < QuotaQuestion::MaxRequests)
            amounts.push_back(amount.get<std::uint32_t>());
    }
    return amounts;
}

} // namespace

std::uint32_t toMessageAmount(double amount)
{
    constexpr double Largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(amount), 0.0, Largest));
}

std::string encodeQuota(const QuotaQuestion &question)
{
    const json known = question.knownLevel ? json(*question.knownLevel) : json(nullptr);
    return toBytes(json::array({layout::QuotaQuestion, question.id, question.account,
                                question.amounts, question.creditWanted, known}));
}

std::string encodeQuota(const QuotaReply &reply)
{
    return toBytes(json::array({layout::QuotaReply, reply.id, reply.isIssuer, reply.grantedRequests,
                                reply.credit, reply.returnAfter.count(), reply.level}));
}

std::string encodeQuota(const ReachProbe &probe)
{
    return toBytes(json::array({layout::ReachProbe, probe.id}));
}

std::string encodeQuota(const ReachReply &reply)
{
    return toBytes(json::array({layout::ReachReply, reply.id}));
}

std::optional<QuotaQuestion> decodeQuotaQuestion(std::string_view bytes)
{
    return decodeMessage(bytes, layout::QuotaQuestion, [](const json &fields) {
        QuotaQuestion question{fields.at(1).get<std::uint32_t>(), fields.at(2).get<std::uint64_t>(),
                               decodeAmounts(fields.at(3)), fields.at(4).get<std::uint32_t>(),
                               std::nullopt};
        if (!fields.at(5).is_null())
            question.knownLevel = fields.at(5).get<std::uint32_t>();
        return question;
    });
}

std::optional<QuotaReply> decodeQuotaReply(std::string_view bytes)
{
    return decodeMessage(bytes, layout::QuotaReply, [](const json &fields) {
        const milliseconds returnAfter(fields.at(5).get<std::int64_t>());
        return QuotaReply{fields.at(1).get<std::uint32_t>(),
                          fields.at(2).get<bool>(),
                          fields.at(3).get<std::uint32_t>(),
                          fields.at(4).get<std::uint32_t>(),
                          std::clamp(returnAfter, milliseconds(0), MaxTime),
                          fields.at(6).get<std::uint32_t>()};
    });
}

std::optional<ReachProbe> decodeReachProbe(std::string_view bytes)
{
    return decodeMessage(bytes, layout::ReachProbe, [](const json &fields) {
        return ReachProbe{fields.at(1).get<std::uint32_t>()};
    });
}

std::optional<ReachReply> decodeReachReply(std::string_view bytes)
{
    return decodeMessage(bytes, layout::ReachReply, [](const json &fields) {
        return ReachReply{fields.at(1).get<std::uint32_t>()};
    });
}

} // namespace almondmill
