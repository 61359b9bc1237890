#pragma once

#include <cstdint>
#include <string_view>

namespace almondmill {

/// Returns the 64-bit XXH3 hash of `bytes`, which is the same in every process.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// The lower half of `hash64`: identifies an endpoint by its id, or a store by its address, in
/// messages and tables of this fleet.
inline std::uint32_t shortHash(std::string_view bytes)
{
    return static_cast<std::uint32_t>(hash64(bytes));
}

/// Combines two hashes into one. The result depends on their order.
inline std::uint64_t mixHash(std::uint64_t first, std::uint64_t second)
{
    constexpr std::uint64_t FirstMultiplier = 0x9e3779b97f4a7c15;
    constexpr std::uint64_t SecondMultiplier = 0xbf58476d1ce4e5b9;
    std::uint64_t mixed = first * FirstMultiplier + second;
    mixed = (mixed ^ (mixed >> 30U)) * SecondMultiplier;
    mixed = (mixed ^ (mixed >> 27U)) * FirstMultiplier;
    return mixed ^ (mixed >> 31U);
}

} // namespace almondmill
