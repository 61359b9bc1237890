#include "almondmill/endpoint/deadlineheap.h"

#include "almondmill/endpoint/deadline.h"

#include <algorithm>

namespace almondmill {

std::optional<SteadyTime> DeadlineHeap::next() const
{
    if (m_entries.empty())
        return std::nullopt;
    return m_entries.front().checkAt;
}

void DeadlineHeap::add(Pointer deadline)
{
    const SteadyTime at = deadline->at();
    push(at, std::move(deadline));
}

std::vector<DeadlineHeap::Pointer> DeadlineHeap::takeExpired(SteadyTime now)
{
    std::vector<Pointer> expired;
    while (!m_entries.empty() && m_entries.front().checkAt <= now) {
        std::pop_heap(m_entries.begin(), m_entries.end());
        Pointer deadline = std::move(m_entries.back().deadline);
        m_entries.pop_back();
        if (deadline->ended())
            continue;
        const SteadyTime at = deadline->at();
        if (at <= now)
            expired.push_back(deadline);
        push(at <= now ? now + RepeatInterval : at, std::move(deadline));
    }
    return expired;
}

void DeadlineHeap::push(SteadyTime checkAt, Pointer deadline)
{
    m_entries.push_back({checkAt, std::move(deadline)});
    std::push_heap(m_entries.begin(), m_entries.end());
}

} // namespace almondmill
