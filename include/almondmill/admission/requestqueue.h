#pragma once

#include "almondmill/admission/queuedrequest.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace almondmill {

/// Bounded queue of requests. High priority goes first, but while low-priority requests wait, every
/// eighth request that is taken out is one of them. Within a priority, client accounts share by
/// weight: start-time fair queueing, with one unit of work per request. When the queue is full, the
/// last request in the fair order is dropped, so an account that exceeds its share loses its own
/// requests and not another's. Not thread-safe; `push` and `pop` take amortized logarithmic time,
/// `remove` linear time.
class RequestQueue
{
public:
    /// While low-priority requests wait, one of this many requests taken out is of low priority.
    static constexpr unsigned LowPriorityInterval = 8;

    /// `capacity` is the number of requests per priority.
    explicit RequestQueue(std::size_t capacity);

    std::size_t size() const;

    /// Adds a request. When the queue is full, returns the id of the dropped request, which may be
    /// the added one.
    std::optional<std::uint64_t> push(const QueuedRequest &request);

    /// Takes out the next request whose deadline has not passed. Appends the ids of expired
    /// requests to `expired`.
    std::optional<std::uint64_t> pop(SteadyTime now, std::vector<std::uint64_t> &expired);

    /// Removes one request that no longer waits.
    void remove(std::uint64_t id);

private:
    /// A request with its position in the fair order.
    struct Entry
    {
        double tag = 0;
        std::uint64_t sequence = 0;
        QueuedRequest request;

        bool operator<(const Entry &other) const
        {
            return tag != other.tag ? tag < other.tag : sequence < other.sequence;
        }
    };

    struct PriorityLevel
    {
        std::set<Entry> entries;
        absl::flat_hash_map<std::uint64_t, double> lastTags; ///< By client account.
        double virtualTime = 0;
    };

    PriorityLevel &levelOf(Priority priority)
    {
        return m_levels[priority == Priority::High ? 0 : 1];
    }
    static std::optional<std::uint64_t> popFrom(PriorityLevel &level, SteadyTime now,
                                                std::vector<std::uint64_t> &expired);
    bool lowIsDue() const;

    const std::size_t m_capacity;
    std::array<PriorityLevel, 2> m_levels;
    std::uint64_t m_sequence = 0;
    unsigned m_highPopsSinceLow = 0;
};

} // namespace almondmill
