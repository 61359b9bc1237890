#pragma once

#include "almondmill/http/memorylimits.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace almondmill {

class MemoryReservation;

/// Ledger of the memory that a process holds for callers and endpoints: requests as received and
/// parsed, answers being received, and answers waiting for a slow reader. Beyond a limit,
/// reservations are evicted until it is kept: of the origin that holds most the largest, unfinished
/// messages before finished requests. Finished requests up to `SmallBytes` are never evicted.
/// Thread-safe.
class HeldMemory
{
public:
    /// Size, with the capacities of all buffers, up to which a request is an ordinary small one.
    static constexpr std::size_t SmallBytes = std::size_t(64) << 10U;

    /// Called for each eviction with the kind of what was evicted; must not use the ledger.
    using Observer = std::function<void(std::string_view kind)>;

    explicit HeldMemory(const MemoryLimits &limits, Observer observer = {});

    std::size_t usedBytes() const;

private:
    friend class MemoryReservation;

    void add(MemoryReservation &reservation);
    void remove(MemoryReservation &reservation);
    /// Replaces the size of a reservation and evicts until the limits are kept.
    void resize(MemoryReservation &reservation, std::size_t bytes);
    /// Changes what a reservation is for, at the same size.
    void change(MemoryReservation &reservation, const std::function<void()> &update);

    void evict(MemoryReservation &reservation);
    /// What is evicted next; null when nothing may be.
    MemoryReservation *next() const;

    const MemoryLimits m_limits;
    const Observer m_observer;
    mutable std::mutex m_mutex;
    std::size_t m_used = 0;
    std::size_t m_usedByAnswers = 0; ///< Of `m_used`, by answers being received.
    absl::flat_hash_set<MemoryReservation *> m_reservations;
};

} // namespace almondmill
