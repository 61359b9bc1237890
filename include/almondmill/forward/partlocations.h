#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace almondmill {

/// Names a prompt part under one cache scope, the same at every router.
using PartKey = std::uint32_t;

PartKey partKey(std::string_view cacheScope, std::string_view partId);

/// A prompt part was sent to an endpoint, which then keeps it for a while.
struct PartPlacement
{
    PartKey part = 0;
    std::uint32_t endpoint = 0; ///< Short hash of its id.
    bool saved = false;         ///< And it saves the part to the store of kept KV cache.
};

/// Where prompt parts were sent last, by this router and by the others as they told. Belongs to the
/// event loop.
class PartLocations
{
public:
    struct Location
    {
        std::uint32_t endpoint = 0;
        SteadyTime since; ///< Of the last request that went there.
        std::optional<SteadyTime>
                savedAt; ///< Since when the part is in the store of kept KV cache.
    };

    /// Null when the part is not known.
    const Location *find(PartKey part) const;

    /// Takes over a placement of this router, which is told to the others.
    void place(const PartPlacement &placement, SteadyTime now);

    /// Takes over a placement of another router.
    void learn(const PartPlacement &placement, SteadyTime now);

    /// This router's placements since the last call with that `reader`'s position, oldest first;
    /// the position moves to the end. Old ones are left out.
    std::vector<PartPlacement> news(std::uint64_t &position) const;

private:
    void set(const PartPlacement &placement, SteadyTime now);
    void forgetOld(SteadyTime now);

    absl::flat_hash_map<PartKey, Location> m_locations;
    std::vector<PartPlacement> m_recent; ///< A ring of this router's placements.
    std::uint64_t m_placed = 0;          ///< How many there were in all.
};

} // namespace almondmill
