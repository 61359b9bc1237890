#include "almondmill/placement/sharedprefixes.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::chrono::seconds Memory{300};
constexpr float Smoothing = 0.125F;
constexpr float BranchingThreshold = 0.05F;
constexpr float RecurringThreshold = 0.10F;
constexpr float FirstRecursThreshold = 0.5F;
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

SharedPrefixes::Entry SharedPrefixes::entryOf(std::uint64_t key, SteadyTime now) const
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks[index % Locks]);
    const Entry &entry = m_entries[index];
    const bool known = entry.key == key && entry.lastSeen != SteadyTime::min()
            && entry.lastSeen + Memory > now;
    return known ? entry : Entry{};
}

void SharedPrefixes::noteChild(std::uint64_t key, std::uint64_t child, bool childSeen,
                               SteadyTime now)
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks[index % Locks]);
    Entry &entry = m_entries[index];
    if (entry.key != key) {
        entry = Entry{key, now, child, 0, 0};
        return;
    }
    entry.lastSeen = now;
    if (child == 0)
        return;
    smooth(entry.branches, entry.lastChild != child);
    smooth(entry.recurs, childSeen);
    entry.lastChild = child;
}

bool SharedPrefixes::noteFirst(bool seen)
{
    float recurs = m_firstRecurs.load(std::memory_order_relaxed);
    const bool recurred = recurs > FirstRecursThreshold;
    smooth(recurs, seen);
    m_firstRecurs.store(recurs, std::memory_order_relaxed);
    return recurred;
}

SharedPrefixes::Level SharedPrefixes::note(std::span<const std::uint64_t> keys, SteadyTime now)
{
    Level level;
    const std::size_t noted = std::min(keys.size(), DeepestNoted);
    Entry above;
    Entry entry = noted == 0 ? Entry{} : entryOf(keys[0], now);
    const bool firstKeysRecur = noteFirst(entry.key != 0);
    bool settled = false;
    for (std::size_t i = 0; i < noted; ++i) {
        const bool isLast = i + 1 == noted;
        const Entry child = isLast ? Entry{} : entryOf(keys[i + 1], now);
        if (!settled) {
            level.depth = i + 1;
            const bool branchesAbove = above.branches > BranchingThreshold;
            const bool likelyShared = i == 0 ? firstKeysRecur : above.recurs > RecurringThreshold;
            level.shared = entry.key != 0 || likelyShared;
            settled = branchesAbove || entry.recurs < RecurringThreshold;
        }
        noteChild(keys[i], isLast ? 0 : keys[i + 1], child.key != 0, now);
        above = entry;
        entry = child;
    }
    return level;
}

} // namespace almondmill
