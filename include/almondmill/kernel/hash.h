#pragma once

#include <cstdint>
#include <string_view>

namespace almondmill {

/// 64-bit hash of `bytes`, the same in every process (XXH3).
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two hashes into one; order matters.
std::uint64_t mixHash(std::uint64_t first, std::uint64_t second);

} // namespace almondmill
