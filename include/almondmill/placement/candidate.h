#pragma once

#include <chrono>
#include <cstdint>

namespace almondmill {

/// One endpoint that may take a request. Only endpoints that take work are offered.
struct Candidate
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0;         ///< Life of its cache; zero when it is not known.
    std::chrono::microseconds queue{0};    ///< Expected wait of new work there.
    std::chrono::microseconds distance{0}; ///< Round trip to its data centre.
    double weight = 1.0; ///< Share of the usual work that it may get; below one while it warms up.
};

} // namespace almondmill
