#include "prefixcache.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill::standin {

PrefixCache::PrefixCache(std::size_t capacityBlocks, std::size_t blockBytes,
                         std::chrono::milliseconds idleTimeout)
    : m_capacityBlocks(capacityBlocks)
    , m_blockBytes(blockBytes)
    , m_idleTimeout(idleTimeout)
{}

std::uint32_t PrefixCache::touch(std::string_view prompt, SteadyTime now)
{
    evict(now);
    std::uint32_t found = 0;
    bool isContiguous = true;
    std::uint64_t chain = 0;
    for (std::size_t start = 0; start + m_blockBytes <= prompt.size(); start += m_blockBytes) {
        chain = mixHash(chain, hash64(prompt.substr(start, m_blockBytes)));
        isContiguous = isContiguous && m_lastUsed.count(chain) != 0;
        if (isContiguous)
            ++found;
        m_lastUsed[chain] = now;
    }
    evict(now);
    return found;
}

void PrefixCache::evict(SteadyTime now)
{
    std::erase_if(m_lastUsed,
                  [&](const auto &entry) { return now - entry.second > m_idleTimeout; });
    while (m_lastUsed.size() > m_capacityBlocks) {
        const auto leastRecentlyUsed =
                std::min_element(m_lastUsed.begin(), m_lastUsed.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
        m_lastUsed.erase(leastRecentlyUsed);
    }
}

} // namespace almondmill::standin
