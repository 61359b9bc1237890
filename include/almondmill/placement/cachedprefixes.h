#pragma once

#include "almondmill/placement/cachedlocation.h"
#include "almondmill/placement/cachedlocationtable.h"

#include <cstdint>
#include <span>

namespace almondmill {

/// Number of leading blocks of one request that each recorded location is expected to have cached.
class CachedPrefixes
{
public:
    /// Looks up the keys, outermost first, until no location has the next one cached. Cost: linear
    /// in the keys, up to a fixed number.
    CachedPrefixes(const CachedLocationTable &table, std::span<const std::uint64_t> keys,
                   SteadyTime now);

    /// Leading blocks expected in the cache of that incarnation of the endpoint.
    std::uint32_t blocks(std::uint64_t nameHash, std::uint64_t incarnation) const
    {
        if ((m_filter & (std::uint64_t{1} << (nameHash % 64))) == 0)
            return 0;
        return blocksOf(CachedLocation{nameHash, incarnation});
    }

private:
    std::uint32_t blocksOf(const CachedLocation &location) const;

    CachedLocationTable::Locations m_locations;
    std::array<std::uint32_t, CachedLocationTable::GroupSize> m_blocks{};
    std::uint64_t m_filter = 0; ///< Bit `nameHash % 64` is set for each location.
};

} // namespace almondmill
