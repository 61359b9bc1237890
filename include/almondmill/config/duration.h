#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Parses a duration such as "250ms", "3s", "5m" or "2h". Returns nullopt if `text` is malformed.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

} // namespace almondmill
