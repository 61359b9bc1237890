#pragma once

#include <chrono>
#include <cstdint>

namespace almondmill {

/// One endpoint of the candidate set of a request.
struct Candidate
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0;           ///< Incarnation of its cache; zero when unknown.
    std::chrono::microseconds queueDelay{0}; ///< Expected queueing delay of new work there.
    std::chrono::microseconds roundTrip{0};  ///< Round-trip time to its data centre.
    double weight = 1.0; ///< Fraction of its usual work that it may get; below one in slow start.
};

} // namespace almondmill
