#pragma once

#include "almondmill/kernel/rcu.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace almondmill {

/// Holds one immutable value that many threads read and few replace. Readers take no lock.
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

    /// One counted reference, for a request that needs the value beyond a short section.
    Pointer snapshot() const
    {
        const RcuReadGuard guard;
        return *m_current.load(std::memory_order_acquire);
    }

    /// Calls `reader(const T &)` inside a read-side section; the reader must not block.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const RcuReadGuard guard;
        return std::forward<Reader>(reader)(**m_current.load(std::memory_order_acquire));
    }

    /// Replaces the value; waits until no reader can see the holder of the old one.
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
