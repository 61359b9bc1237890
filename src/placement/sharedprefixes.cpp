#include "almondmill/placement/sharedprefixes.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace almondmill {

namespace {

constexpr std::chrono::seconds Memory{300};
constexpr float Smoothing = 0.125F;
constexpr float BranchingThreshold = 0.05F;
constexpr float RecurringThreshold = 0.10F;
constexpr float FirstRecursThreshold = 0.5F;
constexpr float LeastChange = 0.01F;
constexpr std::size_t DeepestNoted = 32;

void smooth(float &mean, bool value)
{
    mean += Smoothing * ((value ? 1.0F : 0.0F) - mean);
}

} // namespace

SharedPrefixes::SharedPrefixes(std::size_t entries)
    : m_entries(std::max<std::size_t>(entries, 1))
{}

std::size_t SharedPrefixes::stateBytes() const
{
    return m_entries.size() * sizeof(Entry) + sizeof(SharedPrefixes);
}

SharedPrefixes::Entry SharedPrefixes::visit(std::uint64_t key, std::uint64_t child, bool childSeen,
                                            SteadyTime now)
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    Entry &entry = m_entries[index];
    const bool known = entry.key == key && entry.lastSeen != SteadyTime::min()
                       && entry.lastSeen + Memory > now;
    if (!known) {
        entry = Entry{key, now, child, 0, 0};
        return Entry{};
    }
    const Entry before = entry;
    entry.lastSeen = now;
    if (child != 0) {
        smooth(entry.branches, entry.lastChild != child);
        smooth(entry.recurs, childSeen);
        entry.lastChild = child;
    }
    return before;
}

bool SharedPrefixes::noteFirst(bool seen)
{
    float recurs = m_firstRecurs.load(std::memory_order_relaxed);
    const bool recurred = recurs > FirstRecursThreshold;
    const float before = recurs;
    smooth(recurs, seen);
    if (std::abs(recurs - before) > LeastChange) // spares the other threads' copies of it
        m_firstRecurs.store(recurs, std::memory_order_relaxed);
    return recurred;
}

SharedPrefixes::Level SharedPrefixes::note(std::span<const std::uint64_t> keys, SteadyTime now)
{
    Level level;
    const std::size_t noted = std::min(keys.size(), DeepestNoted);
    if (noted == 0)
        return level;
    std::array<Entry, DeepestNoted> entries;
    for (std::size_t i = noted; i-- > 0;) {
        const bool isLast = i + 1 == noted;
        const std::uint64_t child = isLast ? 0 : keys[i + 1];
        entries[i] = visit(keys[i], child, !isLast && entries[i + 1].key != 0, now);
    }
    const bool firstKeysRecur = noteFirst(entries[0].key != 0);
    bool settled = false;
    for (std::size_t i = 0; i < noted && !settled; ++i) {
        const Entry above = i == 0 ? Entry{} : entries[i - 1];
        const bool branchesAbove = above.branches > BranchingThreshold;
        const bool likelyShared = i == 0 ? firstKeysRecur : above.recurs > RecurringThreshold;
        level.depth = i + 1;
        level.shared = entries[i].key != 0 || likelyShared;
        settled = branchesAbove || entries[i].recurs < RecurringThreshold;
    }
    return level;
}

} // namespace almondmill
