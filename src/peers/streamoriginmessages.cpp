#include "almondmill/peers/streamoriginmessages.h"

#include "decodemessage.h"
#include "layoutversions.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using nlohmann::json;

struct EncodeRecent
{
    json operator()(const UnknownSoftware &) const { return nullptr; }
    json operator()(const SoleSoftware &sole) const { return sole.software; }
    json operator()(const MixedSoftware &) const { return true; }
};

RecentSoftware decodeRecent(const json &value)
{
    if (value.is_null())
        return UnknownSoftware{};
    if (value.is_boolean())
        return MixedSoftware{};
    return SoleSoftware{value.get<SoftwareHash>()};
}

std::string toBytes(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

} // namespace

std::string encodeStreamOrigin(const StreamOriginReport &report)
{
    json origins = json::array();
    for (const StreamOrigin &origin : report.origins)
        origins.push_back({origin.stream, origin.software});
    return toBytes(json::array({layout::StreamOriginReport, std::move(origins)}));
}

std::string encodeStreamOrigin(const StreamOriginQuestion &question)
{
    return toBytes(json::array(
            {layout::StreamOriginQuestion, question.id, question.stream, question.service}));
}

std::string encodeStreamOrigin(const StreamOriginReply &reply)
{
    json software;
    if (reply.software)
        software = *reply.software;
    return toBytes(json::array({layout::StreamOriginReply, reply.id, std::move(software),
                                std::visit(EncodeRecent(), reply.recent)}));
}

std::optional<StreamOriginReport> decodeStreamOriginReport(std::string_view bytes)
{
    return decodeMessage(bytes, layout::StreamOriginReport, [](const json &fields) {
        StreamOriginReport report;
        for (const json &origin : fields.at(1))
            report.origins.push_back(
                    {origin.at(0).get<std::uint64_t>(), origin.at(1).get<SoftwareHash>()});
        return report;
    });
}

std::optional<StreamOriginQuestion> decodeStreamOriginQuestion(std::string_view bytes)
{
    return decodeMessage(bytes, layout::StreamOriginQuestion, [](const json &fields) {
        return StreamOriginQuestion{fields.at(1).get<std::uint32_t>(),
                                    fields.at(2).get<std::uint64_t>(),
                                    fields.at(3).get<std::uint32_t>()};
    });
}

std::optional<StreamOriginReply> decodeStreamOriginReply(std::string_view bytes)
{
    return decodeMessage(bytes, layout::StreamOriginReply, [](const json &fields) {
        StreamOriginReply reply;
        reply.id = fields.at(1).get<std::uint32_t>();
        if (!fields.at(2).is_null())
            reply.software = fields.at(2).get<SoftwareHash>();
        reply.recent = decodeRecent(fields.at(3));
        return reply;
    });
}

} // namespace almondmill
