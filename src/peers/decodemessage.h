#pragma once

#include "peerfields.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <type_traits>

namespace almondmill {

/// Decodes a message between routers with `decode`, which gets the array of its fields and may
/// throw json::exception. Returns nothing when the message is malformed or has another layout; the
/// receiver counts unreadable messages.
template<typename Decode>
auto decodeMessage(std::string_view bytes, std::uint32_t layoutVersion, Decode decode)
        -> std::optional<std::invoke_result_t<Decode, const nlohmann::json &>>
{
    const auto fields = decodeLayout(bytes, layoutVersion);
    if (!fields)
        return std::nullopt;
    try {
        return decode(*fields);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace almondmill
