#include "almondmill/kernel/hash.h"

#include <xxhash.h>

namespace almondmill {

namespace {
constexpr std::uint64_t FirstMultiplier = 0x9e3779b97f4a7c15;
constexpr std::uint64_t SecondMultiplier = 0xbf58476d1ce4e5b9;
} // namespace

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mixHash(std::uint64_t first, std::uint64_t second)
{
    std::uint64_t mixed = first * FirstMultiplier + second;
    mixed = (mixed ^ (mixed >> 30U)) * SecondMultiplier;
    mixed = (mixed ^ (mixed >> 27U)) * FirstMultiplier;
    return mixed ^ (mixed >> 31U);
}

} // namespace almondmill
