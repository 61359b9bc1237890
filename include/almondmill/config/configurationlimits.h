#pragma once

#include <cstddef>
#include <cstdint>

/// Ranges of what inventory and rules may say; the same for files and for what is read from the
/// store.
namespace almondmill::limits {

constexpr std::uint32_t MostBlockTokens = 1U << 20U;
constexpr std::uint32_t MostLoads = 1000;
constexpr std::uint32_t MostInFlight = 100000;
constexpr std::uint32_t MostConcurrent = 1000000;
constexpr std::uint32_t MostTokensPerSecond = 1000000000;
constexpr std::uint32_t MostShare = 10000;
constexpr std::size_t MostNameBytes = 128;
constexpr std::size_t MostPathBytes = 512;
constexpr std::size_t MostNotRepeatable = 64;

} // namespace almondmill::limits
