#include "almondmill/forward/keptprompts.h"

namespace almondmill {

namespace {

/// After this time a part is saved again: it may have been dropped as the least recently used, or
/// with all others when the store restarted.
constexpr std::chrono::seconds SaveAgainAfter{30};

/// Parts remembered; some megabytes at the most.
constexpr std::size_t MostParts = 20000;

} // namespace

bool KeptPrompts::shouldSave(std::uint64_t hash, SteadyTime now)
{
    if (m_savedAt.size() >= MostParts)
        forgetOld(now);
    auto &savedAt = m_savedAt[hash];
    if (savedAt != SteadyTime() && now - savedAt < SaveAgainAfter)
        return false;
    savedAt = now;
    return true;
}

void KeptPrompts::forgetOld(SteadyTime now)
{
    absl::erase_if(m_savedAt,
                   [&](const auto &entry) { return now - entry.second >= SaveAgainAfter; });
    if (m_savedAt.size() >= MostParts)
        m_savedAt.clear();
}

} // namespace almondmill
