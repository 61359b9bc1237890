#pragma once

#include <cstdint>

namespace almondmill {

/// One endpoint that may take a request. Only endpoints that take work are offered.
struct Candidate
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0; ///< Zero when it is not known.
    std::uint32_t load = 0;        ///< Requests open there, as far as known.
    bool sameDataCentre = false;
    double warmth = 1; ///< Share of its usual work that it should get: below one after a return.
};

} // namespace almondmill
