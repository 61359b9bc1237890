#pragma once

#include "almondmill/forward/routerplace.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace almondmill {

/// The place of this router in the rendezvous order of a key, which all routers that know the same
/// fleet compute alike.
class RouterPlaces
{
public:
    /// Number of routers that a router expects before it knows the fleet, at least as large as any
    /// fleet: taking itself for the last one, it leaves small limits to the others.
    static constexpr std::uint32_t UnknownFleet = 320;

    /// Keys whose places are kept.
    static constexpr std::size_t MaxKept = 1024;

    explicit RouterPlaces(std::string_view self);

    /// The fleet is unknown until `setKnown` is called.
    void setUnknown() { m_isKnown = false; }
    void setKnown() { m_isKnown = true; }

    void addRouter(std::string_view name);

    RouterPlace placeFor(std::uint64_t key) const;

private:
    std::uint64_t m_self;
    std::vector<std::uint64_t> m_others;
    bool m_isKnown = true;
    mutable absl::flat_hash_map<std::uint64_t, RouterPlace> m_kept;
};

} // namespace almondmill
