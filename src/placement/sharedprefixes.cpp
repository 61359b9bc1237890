#include "almondmill/placement/sharedprefixes.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace almondmill {

namespace {

constexpr std::chrono::seconds RetentionTime{300};
constexpr float Smoothing = 0.125F;
constexpr float BranchingThreshold = 0.05F;
constexpr float RecurringThreshold = 0.10F;
constexpr float FirstKeyRecurringThreshold = 0.5F;
constexpr float MinStoredChange = 0.01F;
constexpr std::size_t MaxRecordedKeys = 32;

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
                       && entry.lastSeen + RetentionTime > now;
    if (!known) {
        entry = Entry{key, now, child, 0, 0};
        return Entry{};
    }
    const Entry before = entry;
    entry.lastSeen = now;
    if (child != 0) {
        smooth(entry.branching, entry.lastChild != child);
        smooth(entry.recurrence, childSeen);
        entry.lastChild = child;
    }
    return before;
}

bool SharedPrefixes::recordFirstKey(bool seen)
{
    float recurrence = m_firstKeyRecurrence.load(std::memory_order_relaxed);
    const bool isRecurring = recurrence > FirstKeyRecurringThreshold;
    const float before = recurrence;
    smooth(recurrence, seen);
    if (std::abs(recurrence - before) > MinStoredChange) // fewer cache-line invalidations
        m_firstKeyRecurrence.store(recurrence, std::memory_order_relaxed);
    return isRecurring;
}

SharedPrefixes::Level SharedPrefixes::record(std::span<const std::uint64_t> keys, SteadyTime now)
{
    Level level;
    const std::size_t recorded = std::min(keys.size(), MaxRecordedKeys);
    if (recorded == 0)
        return level;
    std::array<Entry, MaxRecordedKeys> entries;
    for (std::size_t i = recorded; i-- > 0;) {
        const bool isLast = i + 1 == recorded;
        const std::uint64_t child = isLast ? 0 : keys[i + 1];
        entries[i] = visit(keys[i], child, !isLast && entries[i + 1].key != 0, now);
    }
    const bool firstKeysRecur = recordFirstKey(entries[0].key != 0);
    bool levelFound = false;
    for (std::size_t i = 0; i < recorded && !levelFound; ++i) {
        const Entry above = i == 0 ? Entry{} : entries[i - 1];
        const bool isBelowBranching = above.branching > BranchingThreshold;
        const bool likelyShared = i == 0 ? firstKeysRecur : above.recurrence > RecurringThreshold;
        level.depth = i + 1;
        level.shared = entries[i].key != 0 || likelyShared;
        levelFound = isBelowBranching || entries[i].recurrence < RecurringThreshold;
    }
    return level;
}

} // namespace almondmill
