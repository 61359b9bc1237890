#include "almondmill/placement/heldprefixes.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t DeepestKey = 32;

bool contains(const HomeTable::Homes &homes, const Home &home)
{
    const auto end = homes.items.begin() + homes.size;
    return std::find(homes.items.begin(), end, home) != end;
}

} // namespace

HeldPrefixes::HeldPrefixes(const HomeTable &homes, std::span<const std::uint64_t> keys,
                           SteadyTime now)
{
    if (keys.empty())
        return;
    m_homes = homes.find(keys.front(), now);
    for (std::size_t i = 0; i < m_homes.size; ++i) {
        m_blocks[i] = 1;
        m_filter |= std::uint64_t{1} << (m_homes.items[i].nameHash % 64);
    }
    const std::size_t depth = std::min(keys.size(), DeepestKey);
    bool goesOn = m_homes.size != 0;
    for (std::uint32_t held = 1; goesOn && held < depth; ++held) {
        const HomeTable::Homes next = homes.find(keys[held], now);
        goesOn = false;
        for (std::size_t i = 0; i < m_homes.size; ++i) {
            if (m_blocks[i] != held || !contains(next, m_homes.items[i]))
                continue;
            m_blocks[i] = held + 1;
            goesOn = true;
        }
    }
}

std::uint32_t HeldPrefixes::blocksOf(const Home &home) const
{
    for (std::size_t i = 0; i < m_homes.size; ++i) {
        if (m_homes.items[i] == home)
            return m_blocks[i];
    }
    return 0;
}

} // namespace almondmill
