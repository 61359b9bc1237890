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

/// Bounded queue of requests. High priority goes first, but every eighth turn is the low one's.
/// Within a priority client accounts share by weight: start-time fair queueing, with one unit of
/// work a request. When it is full, the request furthest back in the fair order goes, so an account
/// that sends too much loses its own requests, not another's. Not safe for several threads; each
/// call takes logarithmic time.
class RequestQueue
{
public:
    /// Most turns that low priority waits while it has requests.
    static constexpr unsigned LowPriorityTurn = 8;

    /// `capacity` requests a priority.
    explicit RequestQueue(std::size_t capacity);

    std::size_t size() const;

    /// Adds a request. Returns the id that had to go because the queue is full, which may be its
    /// own.
    std::optional<std::uint64_t> push(const QueuedRequest &request);

    /// Takes out the next request whose deadline has not passed. Those passed go to `late`.
    std::optional<std::uint64_t> pop(SteadyTime now, std::vector<std::uint64_t> &late);

    /// Takes out one request that gave up.
    void remove(std::uint64_t id);

private:
    /// Place in the fair order.
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

    struct Line
    {
        std::set<Entry> entries;
        absl::flat_hash_map<std::uint64_t, double> lastTags; ///< By client account.
        double virtualTime = 0;
    };

    Line &lineOf(Priority priority) { return m_lines[priority == Priority::High ? 0 : 1]; }
    static std::optional<std::uint64_t> popFrom(Line &line, SteadyTime now,
                                                std::vector<std::uint64_t> &late);
    bool lowIsDue() const;

    const std::size_t m_capacity;
    std::array<Line, 2> m_lines;
    std::uint64_t m_sequence = 0;
    unsigned m_highTurns = 0;
};

} // namespace almondmill
