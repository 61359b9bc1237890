#pragma once

#include <cstddef>
#include <cstdint>

/// Upper limits of values in inventory and rules. They apply to operators' files and to
/// configurations that are read from the store alike.
namespace almondmill::limits {

constexpr std::uint32_t MaxBlockTokens = 1U << 20U;
constexpr std::uint32_t MaxConcurrentLoads = 1000;
constexpr std::uint32_t MaxInFlight = 100000;
constexpr std::uint32_t MaxConcurrentRequests = 1000000;
constexpr std::uint32_t MaxPromptTokensPerSecond = 1000000000;
constexpr std::uint32_t MaxShare = 10000;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxPathBytes = 512;
constexpr std::size_t MaxNotRepeatableCalls = 64;

} // namespace almondmill::limits
