#include "almondmill/peers/routerplaces.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

RouterPlaces::RouterPlaces(std::string_view self)
    : m_self(hash64(self))
{}

void RouterPlaces::addRouter(std::string_view name)
{
    m_others.push_back(hash64(name));
    m_kept.clear();
}

RouterPlace RouterPlaces::placeFor(std::uint64_t key) const
{
    if (!m_isKnown)
        return {UnknownFleet - 1, UnknownFleet, false};
    const auto kept = m_kept.find(key);
    if (kept != m_kept.end())
        return kept->second;
    if (m_kept.size() >= MaxKept)
        m_kept.clear();
    const std::uint64_t own = mixHash(key, m_self);
    const auto before = std::count_if(m_others.begin(), m_others.end(), [&](std::uint64_t other) {
        return mixHash(key, other) < own;
    });
    const RouterPlace place{static_cast<std::uint32_t>(before),
                            static_cast<std::uint32_t>(m_others.size() + 1)};
    m_kept.emplace(key, place);
    return place;
}

} // namespace almondmill
