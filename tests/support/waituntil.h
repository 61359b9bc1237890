#pragma once

#include <chrono>
#include <functional>

namespace almondmill::test {

/// Asks `condition` every few milliseconds until it holds. False when it never did within a limit
/// that only a broken program reaches.
bool waitUntil(const std::function<bool()> &condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace almondmill::test
