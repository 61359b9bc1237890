#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace almondmill {

/// Histogram of durations with fixed buckets, whose upper bounds double from 0.5 ms to 262 s.
/// Adding a value costs two relaxed atomic additions.
class Histogram
{
public:
    static constexpr std::size_t BucketCount = 20;

    /// Inclusive upper bound of one of the first `BucketCount` buckets. One more bucket, without
    /// an upper bound, counts all longer durations.
    static std::chrono::microseconds upperBound(std::size_t bucket);

    std::uint64_t count(std::size_t bucket) const;
    std::uint64_t totalCount() const;
    std::chrono::microseconds sum() const;

    void add(std::chrono::microseconds duration);

private:
    std::array<std::atomic<std::uint64_t>, BucketCount + 1> m_counts{};
    std::atomic<std::uint64_t> m_sumMicroseconds{0};
};

} // namespace almondmill
