#include "almondmill/peers/peermessage.h"

#include "decodemessage.h"
#include "layoutversions.h"
#include "peerfields.h"

#include "almondmill/admission/serviceload.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

using nlohmann::json;

constexpr double TenthsPerUnit = 10;

/// No sender counts for more, so that a wrong number in one message doesn't decide for all.
constexpr double MaxSamplesPerSender = 1000;

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

/// Figures are sent with their number of samples; without samples both are zero.
void encodeFigure(json &array, const WeightedFigure &figure, double resolution)
{
    const bool hasSamples = tenths(figure.samples) > 0;
    array.push_back(static_cast<std::uint64_t>(
            hasSamples ? std::llround(std::max(figure.value, 0.0) * resolution) : 0));
    array.push_back(tenths(figure.samples));
}

WeightedFigure decodeFigure(const json &array, std::size_t at, double resolution)
{
    WeightedFigure figure;
    figure.value = static_cast<double>(array.at(at).get_ref<const json::number_unsigned_t &>())
                   / resolution;
    figure.samples = std::min(fromTenths(array.at(at + 1)), MaxSamplesPerSender);
    return figure;
}

json encodeServices(const std::vector<PeerMessage::Service> &services)
{
    json array = json::array();
    for (const PeerMessage::Service &entry : services) {
        json fields = json::array({entry.service});
        encodeFigure(fields, entry.samples.prefillTokensPerMs, TenthsPerUnit);
        encodeFigure(fields, entry.samples.fetchedTokensPerMs, TenthsPerUnit);
        encodeFigure(fields, entry.samples.residenceMs, 1);
        for (const double open : entry.openByLevel)
            fields.push_back(tenths(open));
        array.push_back(std::move(fields));
    }
    return array;
}

std::vector<PeerMessage::Service> decodeServices(const json &array)
{
    constexpr std::size_t FirstLevel = 7;
    std::vector<PeerMessage::Service> services;
    for (const json &fields : array) {
        PeerMessage::Service entry;
        entry.service = fields.at(0).get<std::uint32_t>();
        entry.samples.prefillTokensPerMs = decodeFigure(fields, 1, TenthsPerUnit);
        entry.samples.fetchedTokensPerMs = decodeFigure(fields, 3, TenthsPerUnit);
        entry.samples.residenceMs = decodeFigure(fields, 5, 1);
        const std::size_t end =
                std::min<std::size_t>(fields.size(), FirstLevel + ServiceLoad::Levels);
        for (std::size_t at = FirstLevel; at < end; ++at)
            entry.openByLevel.push_back(fromTenths(fields.at(at)));
        services.push_back(std::move(entry));
    }
    return services;
}

json encodeSpeeds(const std::vector<PeerMessage::EndpointSpeed> &speeds)
{
    json array = json::array();
    for (const PeerMessage::EndpointSpeed &entry : speeds) {
        array.push_back(entry.endpoint);
        encodeFigure(array, entry.samples.prefillRatio, TenthsPerUnit);
        encodeFigure(array, entry.samples.fetchRatio, TenthsPerUnit);
        encodeFigure(array, entry.samples.residenceRatio, TenthsPerUnit);
    }
    return array;
}

std::vector<PeerMessage::EndpointSpeed> decodeSpeeds(const json &array)
{
    constexpr std::size_t FieldsPerSpeed = 7;
    std::vector<PeerMessage::EndpointSpeed> speeds;
    for (std::size_t at = 0; at + FieldsPerSpeed <= array.size(); at += FieldsPerSpeed) {
        PeerMessage::EndpointSpeed entry;
        entry.endpoint = array.at(at).get<std::uint32_t>();
        entry.samples.prefillRatio = decodeFigure(array, at + 1, TenthsPerUnit);
        entry.samples.fetchRatio = decodeFigure(array, at + 3, TenthsPerUnit);
        entry.samples.residenceRatio = decodeFigure(array, at + 5, TenthsPerUnit);
        speeds.push_back(entry);
    }
    return speeds;
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
    message.services = decodeServices(fields.at(9));
    message.speeds = decodeSpeeds(fields.at(10));
    return message;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    const json fields =
            json::array({layout::State, message.sender, message.incarnation, message.sequence,
                         message.leaving, message.configuration, encodeWeights(message.weights),
                         encodeLoads(message.loads), encodeLoading(message.loading),
                         encodeServices(message.services), encodeSpeeds(message.speeds)});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeMessage(bytes, layout::State, decodeFields);
}

} // namespace almondmill
