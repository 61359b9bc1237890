#pragma once

#include "almondmill/kernel/time.h"

#include <memory>
#include <optional>
#include <vector>

namespace almondmill {

class Deadline;

/// Open deadlines, soonest first. A deadline that was moved to later costs nothing until its old
/// time comes: it is then put back. Not safe for several threads.
class DeadlineHeap
{
public:
    using Pointer = std::shared_ptr<Deadline>;

    /// After it passed, a deadline that is not ended passes again each time this much later.
    static constexpr std::chrono::milliseconds RepeatInterval{50};

    bool empty() const { return m_entries.empty(); }

    /// When the heap must next be looked at; nothing when it is empty.
    std::optional<SteadyTime> next() const;

    /// Cost: logarithmic in the number of deadlines.
    void add(Pointer deadline);

    /// Those passed at `now`. Ended ones are dropped.
    std::vector<Pointer> takePassed(SteadyTime now);

private:
    struct Entry
    {
        SteadyTime checkAt;
        Pointer deadline;

        bool operator<(const Entry &other) const { return checkAt > other.checkAt; }
    };

    void push(SteadyTime checkAt, Pointer deadline);

    std::vector<Entry> m_entries; ///< A heap by std::push_heap, soonest at the front.
};

} // namespace almondmill
