#pragma once

#include "almondmill/kernel/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace almondmill {

/// Expected wait of new work at one endpoint: the queue that the endpoint last reported, plus the
/// work that this router has placed there since that report was taken. The expected wait decreases
/// as time passes. Thread-safe and lock-free.
class ExpectedQueue
{
public:
    using Duration = std::chrono::microseconds;

    /// Expected wait of work that is placed at `now`.
    Duration at(SteadyTime now) const
    {
        const SteadyTime::rep left =
                m_busyUntil.load(std::memory_order_relaxed) - now.time_since_epoch().count();
        return std::chrono::duration_cast<Duration>(SteadyTime::duration(left > 0 ? left : 0));
    }

    /// Moving mean of the work per placement; an assumed value before the first placement.
    Duration meanWork() const;

    /// Adds work that this router placed, or advised another router to place, at `now`.
    void add(Duration work, SteadyTime now);

    /// Replaces the expected wait by a queue that was measured at `taken`, plus the remembered
    /// placements made after `taken`.
    void report(Duration queue, SteadyTime taken);

private:
    struct Placement
    {
        std::atomic<SteadyTime::rep> time{0};
        std::atomic<std::int64_t> work{0};
    };

    static constexpr std::size_t RememberedPlacements = 16;
    using Placements = std::array<Placement, RememberedPlacements>;

    std::atomic<SteadyTime::rep> m_busyUntil{0};
    std::atomic<std::int64_t> m_meanWorkUs{150000};
    std::atomic<std::uint32_t> m_next{0};
    /// Allocated separately, so that the members that every decision reads fill few cache lines.
    std::unique_ptr<Placements> m_placements = std::make_unique<Placements>();
};

} // namespace almondmill
