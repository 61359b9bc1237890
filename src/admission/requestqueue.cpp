#include "almondmill/admission/requestqueue.h"

#include <algorithm>

namespace almondmill {

RequestQueue::RequestQueue(std::size_t capacity)
    : m_capacity(capacity)
{}

std::size_t RequestQueue::size() const
{
    return m_lines[0].entries.size() + m_lines[1].entries.size();
}

std::optional<std::uint64_t> RequestQueue::push(const QueuedRequest &request)
{
    Line &line = lineOf(request.priority);
    double &lastTag = line.lastTags[request.account];
    const double tag = std::max(line.virtualTime, lastTag) + 1.0 / request.share;
    lastTag = tag;
    line.entries.insert({tag, m_sequence++, request});
    if (line.entries.size() <= m_capacity)
        return std::nullopt;
    const auto last = std::prev(line.entries.end());
    const QueuedRequest dropped = last->request;
    line.entries.erase(last);
    line.lastTags[dropped.account] -= 1.0 / dropped.share;
    return dropped.id;
}

std::optional<std::uint64_t> RequestQueue::pop(SteadyTime now, std::vector<std::uint64_t> &late)
{
    Line &high = m_lines[0];
    Line &low = m_lines[1];
    const bool lowFirst = lowIsDue();
    if (!lowFirst) {
        if (const auto id = popFrom(high, now, late)) {
            ++m_highTurns;
            return id;
        }
    }
    m_highTurns = 0;
    if (const auto id = popFrom(low, now, late))
        return id;
    return lowFirst ? popFrom(high, now, late) : std::nullopt;
}

void RequestQueue::remove(std::uint64_t id)
{
    for (Line &line : m_lines)
        std::erase_if(line.entries, [id](const Entry &entry) { return entry.request.id == id; });
}

std::optional<std::uint64_t> RequestQueue::popFrom(Line &line, SteadyTime now,
                                                   std::vector<std::uint64_t> &late)
{
    while (!line.entries.empty()) {
        const Entry entry = *line.entries.begin();
        line.entries.erase(line.entries.begin());
        if (entry.request.deadline <= now) {
            late.push_back(entry.request.id);
            continue;
        }
        line.virtualTime = std::max(line.virtualTime, entry.tag - 1.0 / entry.request.share);
        return entry.request.id;
    }
    line.lastTags.clear();
    return std::nullopt;
}

bool RequestQueue::lowIsDue() const
{
    return !m_lines[1].entries.empty() && m_highTurns + 1 >= LowPriorityTurn;
}

} // namespace almondmill
