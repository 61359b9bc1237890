#include "almondmill/metrics/histogram.h"

namespace almondmill {

namespace {
constexpr std::chrono::microseconds FirstUpperBound{500};
} // namespace

std::chrono::microseconds Histogram::upperBound(std::size_t bucket)
{
    return FirstUpperBound * (std::int64_t{1} << bucket);
}

std::uint64_t Histogram::count(std::size_t bucket) const
{
    return m_counts.at(bucket).load(std::memory_order_relaxed);
}

std::uint64_t Histogram::totalCount() const
{
    std::uint64_t total = 0;
    for (const auto &count : m_counts)
        total += count.load(std::memory_order_relaxed);
    return total;
}

std::chrono::microseconds Histogram::sum() const
{
    return std::chrono::microseconds(m_sumMicroseconds.load(std::memory_order_relaxed));
}

void Histogram::add(std::chrono::microseconds duration)
{
    std::size_t bucket = 0;
    while (bucket < BucketCount && duration > upperBound(bucket))
        ++bucket;
    m_counts.at(bucket).fetch_add(1, std::memory_order_relaxed);
    m_sumMicroseconds.fetch_add(static_cast<std::uint64_t>(duration.count()),
                                std::memory_order_relaxed);
}

} // namespace almondmill
