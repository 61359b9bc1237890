#include "almondmill/admission/requestqueue.h"

#include <algorithm>

namespace almondmill {

RequestQueue::RequestQueue(std::size_t capacity)
    : m_capacity(capacity)
{}

std::size_t RequestQueue::size() const
{
    return m_levels[0].entries.size() + m_levels[1].entries.size();
}

std::optional<std::uint64_t> RequestQueue::push(const QueuedRequest &request)
{
    PriorityLevel &level = levelOf(request.priority);
    double &lastTag = level.lastTags[request.account];
    const double tag = std::max(level.virtualTime, lastTag) + 1.0 / request.share;
    lastTag = tag;
    level.entries.insert({tag, m_sequence++, request});
    if (level.entries.size() <= m_capacity)
        return std::nullopt;
    const auto last = std::prev(level.entries.end());
    const QueuedRequest dropped = last->request;
    level.entries.erase(last);
    level.lastTags[dropped.account] -= 1.0 / dropped.share;
    return dropped.id;
}

std::optional<std::uint64_t> RequestQueue::pop(SteadyTime now, std::vector<std::uint64_t> &expired)
{
    PriorityLevel &high = m_levels[0];
    PriorityLevel &low = m_levels[1];
    const bool lowFirst = lowIsDue();
    if (!lowFirst) {
        if (const auto id = popFrom(high, now, expired)) {
            ++m_highPopsSinceLow;
            return id;
        }
    }
    m_highPopsSinceLow = 0;
    if (const auto id = popFrom(low, now, expired))
        return id;
    return lowFirst ? popFrom(high, now, expired) : std::nullopt;
}

void RequestQueue::remove(std::uint64_t id)
{
    for (PriorityLevel &level : m_levels)
        std::erase_if(level.entries, [id](const Entry &entry) { return entry.request.id == id; });
}

std::optional<std::uint64_t> RequestQueue::popFrom(PriorityLevel &level, SteadyTime now,
                                                   std::vector<std::uint64_t> &expired)
{
    while (!level.entries.empty()) {
        const Entry entry = *level.entries.begin();
        level.entries.erase(level.entries.begin());
        if (entry.request.deadline <= now) {
            expired.push_back(entry.request.id);
            continue;
        }
        level.virtualTime = std::max(level.virtualTime, entry.tag - 1.0 / entry.request.share);
        return entry.request.id;
    }
    level.lastTags.clear();
    return std::nullopt;
}

bool RequestQueue::lowIsDue() const
{
    return !m_levels[1].entries.empty() && m_highPopsSinceLow + 1 >= LowPriorityInterval;
}

} // namespace almondmill
