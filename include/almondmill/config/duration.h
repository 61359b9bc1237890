#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Parses a duration such as "250ms", "3s", "5m" or "2h"; nothing when it is not one.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

} // namespace almondmill
