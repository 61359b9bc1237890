#include "peerfields.h"

#include <nlohmann/json.hpp>

namespace almondmill {

using nlohmann::json;

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
                           std::chrono::milliseconds(entry.at(2).get<std::int64_t>())});
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
        loading.push_back({entry.at(0).get<std::uint32_t>(),
                           std::chrono::milliseconds(entry.at(1).get<std::int64_t>())});
    return loading;
}

} // namespace almondmill
