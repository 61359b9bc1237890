#pragma once

#include <atomic>
#include <cstdint>

namespace almondmill {

/// Monotonically increasing counter. An increment costs one relaxed atomic addition.
class Counter
{
public:
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace almondmill
