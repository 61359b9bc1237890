#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondmill {

/// Which rumours still go out with heartbeats, by key. Each is sent a bounded number of times,
/// those sent least often first; one that was sent seldom yet is urgent.
class RumourBuffer
{
public:
    /// Whether some rumour has been sent fewer than `sends` times.
    bool hasSentFewerThan(unsigned sends) const;

    bool empty() const { return m_items.empty(); }

    /// Puts a rumour in, or starts its count again.
    void add(std::uint64_t key);

    /// At most `most` keys, counted as sent; those sent `sendLimit` times are let go of. Cost:
    /// n log n in the number of rumours.
    std::vector<std::uint64_t> take(std::size_t most, unsigned sendLimit);

private:
    struct Item
    {
        std::uint64_t key = 0;
        unsigned sends = 0;
    };

    std::vector<Item> m_items;
};

} // namespace almondmill
