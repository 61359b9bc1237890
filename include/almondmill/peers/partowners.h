#pragma once

#include "almondmill/forward/partlocations.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Selects the routers that keep the location of a prompt part. Each part has two owners, the
/// routers that come first in the part's rendezvous order, which is the same at all routers that
/// know the same fleet.
class PartOwners
{
public:
    static constexpr std::size_t OwnersPerPart = 2;

    void addRouter(const std::string &name);

    /// The part's owners in rendezvous order; empty names when there are fewer routers.
    std::array<std::string, OwnersPerPart> ownersOf(PartKey part) const;

    /// The owner to ask: the first one that has not recently left a lookup unanswered. Returns
    /// nothing when both have.
    std::optional<std::string> ownerToAsk(PartKey part, SteadyTime now) const;

    /// Records that a router did not answer a lookup in time.
    void recordUnanswered(const std::string &name, SteadyTime now);

private:
    struct Router
    {
        std::uint64_t hash = 0;
        std::string name;
    };

    std::vector<Router> m_routers;
    absl::flat_hash_map<std::string, SteadyTime> m_unansweredAt;
};

} // namespace almondmill
