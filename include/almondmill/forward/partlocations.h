#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

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
    /// An engine that was asked to read or fetch the part.
    struct Holder
    {
        std::uint32_t endpoint = 0;
        SteadyTime readAt;   ///< From when on it has the part, as expected.
        SteadyTime lastUsed; ///< By the last request that went there.
    };

    struct Location
    {
        Holder last;                       ///< Where the part was sent last.
        std::optional<Holder> before;      ///< Where it was before; it may still be there.
        std::optional<SteadyTime> savedAt; ///< Since when the store of kept KV cache has it.
    };

    /// Null when the part is not known.
    const Location *find(PartKey part) const;

    /// Takes over that a part was sent to an engine, which has read it after about `reading`,
    /// unless it had it before.
    void place(const PartPlacement &placement, std::chrono::milliseconds reading, SteadyTime now);

private:
    void forgetOld(SteadyTime now);

    absl::flat_hash_map<PartKey, Location> m_locations;
};

} // namespace almondmill
