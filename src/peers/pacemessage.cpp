#include "almondmill/peers/pacemessage.h"

#include "decodemessage.h"
#include "layoutversions.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using nlohmann::json;

constexpr std::size_t FieldsPerEntry = 4;

PaceMessage decodeFields(const json &fields)
{
    PaceMessage message;
    message.origin = fields.at(1).get<std::string>();
    message.incarnation = fields.at(2).get<std::uint64_t>();
    message.sequence = fields.at(3).get<std::uint64_t>();
    const json &entries = fields.at(4);
    for (std::size_t at = 0; at + FieldsPerEntry <= entries.size(); at += FieldsPerEntry) {
        PaceMessage::Entry entry;
        entry.endpoint = entries.at(at).get<std::uint64_t>();
        entry.report.period = entries.at(at + 1).get<std::uint32_t>();
        entry.report.cuts = entries.at(at + 2).get<std::uint32_t>();
        entry.report.limit = entries.at(at + 3).get<std::uint32_t>();
        message.entries.push_back(entry);
    }
    return message;
}

} // namespace

std::string encodePaces(const PaceMessage &message)
{
    json entries = json::array();
    for (const PaceMessage::Entry &entry : message.entries) {
        entries.push_back(entry.endpoint);
        entries.push_back(entry.report.period);
        entries.push_back(entry.report.cuts);
        entries.push_back(entry.report.limit);
    }
    const json fields = json::array({layout::Pace, message.origin, message.incarnation,
                                     message.sequence, std::move(entries)});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<PaceMessage> decodePaces(std::string_view bytes)
{
    return decodeMessage(bytes, layout::Pace, decodeFields);
}

} // namespace almondmill
