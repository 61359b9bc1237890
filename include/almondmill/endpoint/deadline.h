#pragma once

#include "almondmill/kernel/time.h"

#include <atomic>
#include <functional>

namespace almondmill {

/// A point in time after which a callback runs. The time may be changed from any thread.
class Deadline
{
public:
    Deadline(SteadyTime at, std::function<void()> onExpired)
        : m_onExpired(std::move(onExpired))
        , m_at(at.time_since_epoch().count())
    {}

    /// The point in time, or `SteadyTime::min()` after `expireNow` was called.
    SteadyTime at() const
    {
        if (m_expireNow.load(std::memory_order_acquire))
            return SteadyTime::min();
        return SteadyTime(SteadyTime::duration(m_at.load(std::memory_order_relaxed)));
    }
    bool ended() const { return m_ended.load(std::memory_order_acquire); }
    void expire() const { m_onExpired(); }

    /// Changes the point in time. An earlier time takes effect only through `DeadlineWatch::hurry`.
    /// Cost: one relaxed store.
    void moveTo(SteadyTime at)
    {
        m_at.store(at.time_since_epoch().count(), std::memory_order_relaxed);
    }

    /// Makes the deadline expire immediately, whatever time it is moved to later.
    void expireNow() { m_expireNow.store(true, std::memory_order_release); }

    /// Disarms the deadline: the callback is not called again. A call already in progress
    /// completes.
    void end() { m_ended.store(true, std::memory_order_release); }

private:
    std::function<void()> m_onExpired;
    std::atomic<SteadyTime::rep> m_at;
    std::atomic<bool> m_expireNow{false};
    std::atomic<bool> m_ended{false};
};

} // namespace almondmill
