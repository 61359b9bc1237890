#pragma once

#include "almondmill/peers/peermessage.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace almondmill {

// Serialization of fields that several peer messages share. The decoders throw json::exception.

nlohmann::json encodeWeights(const std::vector<PeerMessage::Weights> &weights);
std::vector<PeerMessage::Weights> decodeWeights(const nlohmann::json &array);
nlohmann::json encodeLoading(const std::vector<PeerMessage::LoadingEngine> &loading);
std::vector<PeerMessage::LoadingEngine> decodeLoading(const nlohmann::json &array);

} // namespace almondmill
