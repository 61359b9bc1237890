#pragma once

#include "almondmill/kernel/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace almondmill {

/// How long new work is expected to wait at one endpoint: the queue it last reported, and what this
/// router placed there since that report was taken. Drains as time passes. Safe to use from several
/// threads, lock-free.
class ExpectedQueue
{
public:
    using Duration = std::chrono::microseconds;

    /// The expected wait of work placed at `now`.
    Duration at(SteadyTime now) const
    {
        const SteadyTime::rep left =
                m_busyUntil.load(std::memory_order_relaxed) - now.time_since_epoch().count();
        return std::chrono::duration_cast<Duration>(SteadyTime::duration(left > 0 ? left : 0));
    }

    /// Mean work of the placements so far; an assumed one before the first.
    Duration meanWork() const;

    /// Adds work that this router placed, or advised to place, at `now`.
    void add(Duration work, SteadyTime now);

    /// Replaces the expectation by a queue measured at `taken`, plus what was added since.
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
    std::atomic<std::int64_t> m_meanWork{150000};
    std::atomic<std::uint32_t> m_next{0};
    /// Apart from what every decision reads, so that this stays in few cache lines.
    std::unique_ptr<Placements> m_placements = std::make_unique<Placements>();
};

} // namespace almondmill
