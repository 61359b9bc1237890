#pragma once

#include "almondmill/kernel/rcu.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace almondmill {

/// Holds an immutable value that is read often and replaced rarely, by any thread. Readers take no
/// lock.
template<typename T>
class RcuCell
{
public:
    using Pointer = std::shared_ptr<const T>;

    explicit RcuCell(Pointer initial)
        : m_current(new Pointer(std::move(initial)))
    {}

    ~RcuCell() { delete m_current.load(std::memory_order_relaxed); }

    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /// Returns a shared pointer to the value, for readers that need it after the read-side critical
    /// section.
    Pointer snapshot() const
    {
        const RcuReadGuard guard;
        return *m_current.load(std::memory_order_acquire);
    }

    /// Calls `reader(const T &)` inside a read-side critical section; the reader must not block.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const RcuReadGuard guard;
        return std::forward<Reader>(reader)(**m_current.load(std::memory_order_acquire));
    }

    /// Replaces the value. Blocks until no reader can access the pointer to the old value.
    void publish(Pointer next)
    {
        auto holder = std::make_unique<Pointer>(std::move(next));
        const Pointer *old = nullptr;
        {
            const std::lock_guard<std::mutex> lock(m_writers);
            old = m_current.exchange(holder.release(), std::memory_order_acq_rel);
        }
        rcuSynchronize();
        delete old;
    }

private:
    std::atomic<const Pointer *> m_current;
    std::mutex m_writers;
};

} // namespace almondmill
