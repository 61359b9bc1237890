#pragma once

#include "almondmill/placement/home.h"
#include "almondmill/placement/hometable.h"

#include <cstdint>
#include <span>

namespace almondmill {

/// How many leading blocks of one request each remembered home holds.
class HeldPrefixes
{
public:
    /// Looks the keys up, outermost first, until no home holds the next. Cost: linear in the keys
    /// up to a fixed number.
    HeldPrefixes(const HomeTable &homes, std::span<const std::uint64_t> keys, SteadyTime now);

    /// Leading blocks held by that life of the endpoint.
    std::uint32_t blocks(std::uint64_t nameHash, std::uint64_t incarnation) const
    {
        if ((m_filter & (std::uint64_t{1} << (nameHash % 64))) == 0)
            return 0;
        return blocksOf(Home{nameHash, incarnation});
    }

private:
    std::uint32_t blocksOf(const Home &home) const;

    HomeTable::Homes m_homes;
    std::array<std::uint32_t, HomeTable::GroupSize> m_blocks{};
    std::uint64_t m_filter = 0; ///< One bit for each of 64 classes of names.
};

} // namespace almondmill
