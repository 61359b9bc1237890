#pragma once

#include "almondmill/kernel/time.h"

#include <atomic>
#include <functional>

namespace almondmill {

/// A point in time after which something is called. The time may be moved from any thread.
class Deadline
{
public:
    Deadline(SteadyTime at, std::function<void()> onPassed)
        : m_onPassed(std::move(onPassed))
        , m_at(at.time_since_epoch().count())
    {}

    /// The point in time; the earliest there is once `passNow` was called.
    SteadyTime at() const
    {
        if (m_passNow.load(std::memory_order_acquire))
            return SteadyTime::min();
        return SteadyTime(SteadyTime::duration(m_at.load(std::memory_order_relaxed)));
    }
    bool ended() const { return m_ended.load(std::memory_order_acquire); }
    void passed() const { m_onPassed(); }

    /// Moves the point in time. A time earlier than before is noticed only through the watch. Cost:
    /// one relaxed store.
    void moveTo(SteadyTime at)
    {
        m_at.store(at.time_since_epoch().count(), std::memory_order_relaxed);
    }

    /// The deadline passes at once, wherever it is moved.
    void passNow() { m_passNow.store(true, std::memory_order_release); }

    /// What was waited for has happened: nothing is called from now on, but for a call under way.
    void end() { m_ended.store(true, std::memory_order_release); }

private:
    std::function<void()> m_onPassed;
    std::atomic<SteadyTime::rep> m_at;
    std::atomic<bool> m_passNow{false};
    std::atomic<bool> m_ended{false};
};

} // namespace almondmill
