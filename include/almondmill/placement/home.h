#pragma once

#include <cstdint>

namespace almondmill {

/// One life of an endpoint: what is remembered of it ends with its incarnation.
struct Home
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const Home &) const = default;
};

} // namespace almondmill
