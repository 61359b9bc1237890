#pragma once

#include "almondmill/peers/peermessage.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace almondmill {

// Serialization of fields that several peer messages share. The decoders throw json::exception.

/// Decodes the array of fields of a message between routers. Returns nothing when the bytes are
/// malformed or the message has another layout.
std::optional<nlohmann::json> decodeLayout(std::string_view bytes, std::uint32_t layoutVersion);

nlohmann::json encodeWeights(const std::vector<PeerMessage::Weights> &weights);
std::vector<PeerMessage::Weights> decodeWeights(const nlohmann::json &array);
nlohmann::json encodeLoading(const std::vector<PeerMessage::LoadingEngine> &loading);
std::vector<PeerMessage::LoadingEngine> decodeLoading(const nlohmann::json &array);

} // namespace almondmill
