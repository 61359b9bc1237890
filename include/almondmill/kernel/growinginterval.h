#pragma once

#include <algorithm>
#include <chrono>

namespace almondmill {

/// Intervals between repeated tries; each is twice as long as the one before, up to a bound.
class GrowingInterval
{
public:
    using Milliseconds = std::chrono::milliseconds;

    GrowingInterval(Milliseconds first, Milliseconds longest)
        : m_first(first)
        , m_longest(longest)
        , m_next(first)
    {}

    /// The interval until the next try.
    Milliseconds next()
    {
        const Milliseconds interval = m_next;
        m_next = std::min(2 * m_next, m_longest);
        return interval;
    }

    /// Starts again with the first interval.
    void reset() { m_next = m_first; }

private:
    Milliseconds m_first;
    Milliseconds m_longest;
    Milliseconds m_next;
};

} // namespace almondmill
