#pragma once

#include "almondmill/peers/peermessage.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace almondmill {

// Fields that the messages between routers have in common. The decoders throw json::exception.

nlohmann::json encodeWeights(const std::vector<PeerMessage::Weights> &weights);
std::vector<PeerMessage::Weights> decodeWeights(const nlohmann::json &array);
nlohmann::json encodeLoading(const std::vector<PeerMessage::Loading> &loading);
std::vector<PeerMessage::Loading> decodeLoading(const nlohmann::json &array);

} // namespace almondmill
