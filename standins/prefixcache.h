#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondmill::standin {

/// Bounded cache of prompt blocks, as in an engine. Evicts blocks that were not used within the
/// idle timeout and, when it is full, the least recently used ones. Not thread-safe.
class PrefixCache
{
public:
    PrefixCache(std::size_t capacityBlocks, std::size_t blockBytes,
                std::chrono::milliseconds idleTimeout);

    /// Returns how many complete blocks from the start of the prompt are cached, then caches all
    /// its complete blocks.
    std::uint32_t touch(std::string_view prompt, SteadyTime now);

    std::size_t blockBytes() const { return m_blockBytes; }

private:
    void evict(SteadyTime now);

    std::size_t m_capacityBlocks;
    std::size_t m_blockBytes;
    std::chrono::milliseconds m_idleTimeout;
    std::unordered_map<std::uint64_t, SteadyTime> m_lastUsed;
};

} // namespace almondmill::standin
