#include "almondmill/forward/pacechanges.h"

namespace almondmill {

void PaceChanges::add(std::uint64_t incarnation)
{
    const bool wasEmpty = m_incarnations.empty();
    m_incarnations.insert(incarnation);
    if (wasEmpty && m_listener)
        m_listener();
}

std::optional<std::uint64_t> PaceChanges::first() const
{
    if (m_incarnations.empty())
        return std::nullopt;
    return *m_incarnations.begin();
}

std::vector<std::uint64_t> PaceChanges::take(std::size_t max)
{
    std::vector<std::uint64_t> taken;
    while (!m_incarnations.empty() && taken.size() < max) {
        taken.push_back(*m_incarnations.begin());
        m_incarnations.erase(m_incarnations.begin());
    }
    return taken;
}

} // namespace almondmill
