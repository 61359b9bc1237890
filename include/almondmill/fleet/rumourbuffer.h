#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondmill {

/// Keys of the rumours that are still piggybacked on heartbeats. Each rumour is sent a bounded
/// number of times, those with the fewest sends first.
class RumourBuffer
{
public:
    /// Whether any rumour has been sent fewer than `sends` times.
    bool anySentFewerThan(unsigned sends) const;

    bool empty() const { return m_items.empty(); }

    /// Adds a rumour, or resets its send count if it is present.
    void add(std::uint64_t key);

    /// Returns at most `maxCount` keys and increments their send counts. Removes rumours that have
    /// been sent `sendLimit` times. Complexity: O(n log n) in the number of rumours.
    std::vector<std::uint64_t> take(std::size_t maxCount, unsigned sendLimit);

private:
    struct Item
    {
        std::uint64_t key = 0;
        unsigned sends = 0;
    };

    std::vector<Item> m_items;
};

} // namespace almondmill
