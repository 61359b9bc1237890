#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondmill::standin {

/// An engine's bounded cache of prompt blocks: idle blocks go after a time, the longest unused
/// first when it is full. Not safe for several threads.
class PrefixCache
{
public:
    PrefixCache(std::size_t capacityBlocks, std::size_t blockBytes, std::chrono::milliseconds idle);

    /// Whole blocks of the prompt found from its start on; afterwards all its blocks are cached.
    std::uint32_t touch(std::string_view prompt, SteadyTime now);

    std::size_t blockBytes() const { return m_blockBytes; }

private:
    void evict(SteadyTime now);

    std::size_t m_capacityBlocks;
    std::size_t m_blockBytes;
    std::chrono::milliseconds m_idle;
    std::unordered_map<std::uint64_t, SteadyTime> m_lastUsed;
};

} // namespace almondmill::standin
