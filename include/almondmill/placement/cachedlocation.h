#pragma once

#include <cstdint>

namespace almondmill {

/// An endpoint and the incarnation of its cache. A new incarnation starts with an empty cache, so
/// records of an earlier incarnation do not apply to it.
struct CachedLocation
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const CachedLocation &) const = default;
};

} // namespace almondmill
