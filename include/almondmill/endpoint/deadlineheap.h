#pragma once

#include "almondmill/kernel/time.h"

#include <memory>
#include <optional>
#include <vector>

namespace almondmill {

class Deadline;

/// Active deadlines, earliest first. A deadline that was moved to a later time keeps its position
/// and is inserted again only when its earlier time is reached. Not thread-safe.
class DeadlineHeap
{
public:
    using Pointer = std::shared_ptr<Deadline>;

    /// Interval at which an expired deadline expires again until it is ended.
    static constexpr std::chrono::milliseconds RepeatInterval{50};

    bool empty() const { return m_entries.empty(); }

    /// Time at which `takeExpired` must be called next, or nothing when the heap is empty.
    std::optional<SteadyTime> next() const;

    /// Cost: logarithmic in the number of deadlines.
    void add(Pointer deadline);

    /// Returns the deadlines that have expired at `now`, and removes those that were ended.
    std::vector<Pointer> takeExpired(SteadyTime now);

private:
    struct Entry
    {
        SteadyTime checkAt;
        Pointer deadline;

        bool operator<(const Entry &other) const { return checkAt > other.checkAt; }
    };

    void push(SteadyTime checkAt, Pointer deadline);

    std::vector<Entry> m_entries; ///< A heap made with std::push_heap, earliest entry first.
};

} // namespace almondmill
