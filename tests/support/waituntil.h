#pragma once

#include <chrono>
#include <functional>

namespace almondmill::test {

/// Polls `condition` every 5 ms until it is true. Returns false after `limit`, whose default is far
/// above the time that correct code needs.
bool waitUntil(const std::function<bool()> &condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace almondmill::test
