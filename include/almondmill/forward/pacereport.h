#pragma once

#include <cstdint>

namespace almondmill {

/// What a router knows of an endpoint's pace. The greater of two reports holds: a later period
/// replaces an earlier one, the more cuts the fewer, and after the same cuts the higher limit. So
/// cuts by several routers at the same time count as one, and each order of messages gives the same
/// result.
struct PaceReport
{
    std::uint32_t period = 0; ///< Counts the starts and pauses of the incarnation.
    std::uint32_t cuts = 0;   ///< Counts the reductions within the period.
    std::uint32_t limit = 0;  ///< Open requests from all routers together.

    bool operator==(const PaceReport &) const = default;

    bool isGreaterThan(const PaceReport &other) const
    {
        if (period != other.period)
            return period > other.period;
        if (cuts != other.cuts)
            return cuts > other.cuts;
        return limit > other.limit;
    }
};

} // namespace almondmill
