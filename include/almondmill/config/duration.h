#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Longest duration that a setting may have; leaves room for sums with points in time.
constexpr std::chrono::hours MaxDuration{24 * 365};

/// Parses a duration such as "250ms", "3s", "2.5s", "5m" or "2h", of at most `MaxDuration`. A
/// fraction of a millisecond is dropped, so that a timeout never becomes longer than it was
/// written. Returns nullopt if `text` is malformed.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

} // namespace almondmill
