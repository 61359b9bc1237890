#include "peerfields.h"

#include "almondmill/peers/peermessagekind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace almondmill {

using nlohmann::json;

namespace {

/// Longer times in messages are read as this one; they are added to points in time.
constexpr std::chrono::hours MaxReportedTime{24};

std::chrono::milliseconds decodeTime(const json &value)
{
    const std::chrono::milliseconds time(value.get<std::int64_t>());
    return std::clamp<std::chrono::milliseconds>(time, std::chrono::milliseconds(0),
                                                 MaxReportedTime);
}

} // namespace

std::optional<json> decodeLayout(std::string_view bytes, std::uint32_t layoutVersion)
{
    // The receiver tries one layout after another; only that of the message is worth parsing it.
    if (peekLayout(bytes) != layoutVersion)
        return std::nullopt;
    try {
        json fields = json::from_cbor(bytes.begin(), bytes.end());
        const bool isExpected =
                fields.is_array() && !fields.empty() && fields.front() == layoutVersion;
        return isExpected ? std::optional(std::move(fields)) : std::nullopt;
    } catch (const json::exception &) {
        // The parser's variant without exceptions still throws for sizes that no memory can hold.
        return std::nullopt;
    }
}

json encodeWeights(const std::vector<PeerMessage::Weights> &weights)
{
    json array = json::array();
    for (const PeerMessage::Weights &entry : weights)
        array.push_back({entry.target.model, entry.target.version, entry.knownFor.count()});
    return array;
}

std::vector<PeerMessage::Weights> decodeWeights(const json &array)
{
    std::vector<PeerMessage::Weights> weights;
    for (const json &entry : array)
        weights.push_back({{entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>()},
                           decodeTime(entry.at(2))});
    return weights;
}

json encodeLoading(const std::vector<PeerMessage::LoadingEngine> &loading)
{
    json array = json::array();
    for (const PeerMessage::LoadingEngine &entry : loading)
        array.push_back({entry.endpoint, entry.timeLeft.count()});
    return array;
}

std::vector<PeerMessage::LoadingEngine> decodeLoading(const json &array)
{
    std::vector<PeerMessage::LoadingEngine> loading;
    for (const json &entry : array)
        loading.push_back({entry.at(0).get<std::uint32_t>(), decodeTime(entry.at(1))});
    return loading;
}

} // namespace almondmill
