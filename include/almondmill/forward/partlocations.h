#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace almondmill {

/// Identifies a prompt part within a cache scope, the same at every router.
using PartKey = std::uint32_t;

PartKey partKey(std::string_view cacheScope, std::string_view partId);

/// A prompt part that was sent to an endpoint, which then caches it.
struct PartPlacement
{
    PartKey part = 0;
    std::uint32_t endpoint = 0; ///< Short hash of its id.
    bool saved = false;         ///< The endpoint also saves the part to the KV cache store.
};

/// Where prompt parts were last sent, by this router and, as far as they reported it, by the other
/// routers. Used by the event loop only; not thread-safe.
class PartLocations
{
public:
    /// An engine that was sent the part, to compute or fetch it.
    struct Holder
    {
        std::uint32_t endpoint = 0;
        SteadyTime availableAt; ///< Expected time from which the engine has the part.
        SteadyTime lastUsedAt;  ///< When the last request with the part was sent there.
    };

    /// A copy in a KV cache store.
    struct SavedCopy
    {
        std::uint32_t store = 0; ///< Short hash of the store's address.
        SteadyTime availableAt;  ///< Expected time from which the store has the part.
    };

    struct Location
    {
        Holder current;                 ///< Where the part was last sent.
        std::optional<Holder> previous; ///< Where it was before; may still be cached there.
        std::optional<SavedCopy> saved;
    };

    /// Null when the location of the part is unknown.
    const Location *find(PartKey part) const;

    /// Records that a part was sent to an engine. `prefillTime` is the expected time until the
    /// engine has computed the part, unless it was cached there already. `store` is the short hash
    /// of the address of the KV cache store that the engine saves to.
    void recordPlacement(const PartPlacement &placement, std::uint32_t store,
                         std::chrono::milliseconds prefillTime, SteadyTime now);

    /// Applies what another router knows of a part's location, unless this router knows of a later
    /// use.
    void recordReported(PartKey part, const Location &reported, SteadyTime now);

private:
    void evictOld(SteadyTime now);

    absl::flat_hash_map<PartKey, Location> m_locations;
};

} // namespace almondmill
