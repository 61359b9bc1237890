#pragma once

#include <array>
#include <cstddef>
#include <mutex>

namespace almondmill {

/// Striped locks for the entries of a table. Each lock has a cache line of its own, which avoids
/// false sharing. An entry's lock is held for a few loads and stores only.
class StripedLocks
{
public:
    std::mutex &of(std::size_t index) { return m_locks[index % Count].mutex; }

private:
    struct alignas(64) Lock
    {
        std::mutex mutex;
    };

    static constexpr std::size_t Count = 256;

    std::array<Lock, Count> m_locks;
};

} // namespace almondmill
