#include "almondmill/peers/peermessage.h"

#include "decodemessage.h"
#include "peerfields.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace almondmill {

namespace {

using nlohmann::json;

/// Messages of another layout version are ignored, so that routers of different releases can run
/// together.
constexpr std::uint32_t LayoutVersion = 3;

constexpr double TenthsPerUnit = 10;

/// Average loads are sent in tenths; a finer resolution makes no difference to placement.
std::uint64_t tenths(double value)
{
    return static_cast<std::uint64_t>(std::llround(std::max(value, 0.0) * TenthsPerUnit));
}

double fromTenths(const json &value)
{
    return static_cast<double>(value.get<std::uint64_t>()) / TenthsPerUnit;
}

json encodeLoads(const std::vector<PeerMessage::Load> &loads)
{
    json array = json::array();
    for (const PeerMessage::Load &entry : loads) {
        array.push_back(entry.endpoint);
        array.push_back(tenths(entry.load.openRequests));
        array.push_back(static_cast<std::uint64_t>(std::max(entry.load.pendingPrefillTokens, 0.0)));
        array.push_back(static_cast<std::uint64_t>(std::max(entry.load.heldTokens, 0.0)));
    }
    return array;
}

constexpr std::size_t FieldsPerLoad = 4;

/// A count of tokens; rejects what is no number that loads can be added up from.
double decodeTokens(const json &value)
{
    return static_cast<double>(value.get_ref<const json::number_unsigned_t &>());
}

std::vector<PeerMessage::Load> decodeLoads(const json &array)
{
    std::vector<PeerMessage::Load> loads;
    for (std::size_t at = 0; at + FieldsPerLoad <= array.size(); at += FieldsPerLoad) {
        PeerMessage::Load entry;
        entry.endpoint = array.at(at).get<std::uint32_t>();
        entry.load.openRequests = fromTenths(array.at(at + 1));
        entry.load.pendingPrefillTokens = decodeTokens(array.at(at + 2));
        entry.load.heldTokens = decodeTokens(array.at(at + 3));
        loads.push_back(entry);
    }
    return loads;
}

PeerMessage decodeFields(const json &fields)
{
    PeerMessage message;
    message.sender = fields.at(1).get<std::string>();
    message.incarnation = fields.at(2).get<std::uint64_t>();
    message.sequence = fields.at(3).get<std::uint64_t>();
    message.leaving = fields.at(4).get<bool>();
    message.configuration = fields.at(5).get<std::uint64_t>();
    message.weights = decodeWeights(fields.at(6));
    message.loads = decodeLoads(fields.at(7));
    message.loading = decodeLoading(fields.at(8));
    return message;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    const json fields =
            json::array({LayoutVersion, message.sender, message.incarnation, message.sequence,
                         message.leaving, message.configuration, encodeWeights(message.weights),
                         encodeLoads(message.loads), encodeLoading(message.loading)});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeMessage(bytes, LayoutVersion, decodeFields);
}

} // namespace almondmill
