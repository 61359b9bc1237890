#include "almondmill/forward/connectionpool.h"

#include "almondmill/http/timedsocket.h"

#include <algorithm>

namespace almondmill {

std::shared_ptr<TimedSocket> ConnectionPool::take(SteadyTime now)
{
    while (!m_idle.empty()) {
        Idle idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (now < idle.expiresAt && !idle.socket->isStale())
            return std::move(idle.socket);
        idle.socket->abort();
    }
    return nullptr;
}

void ConnectionPool::put(std::shared_ptr<TimedSocket> socket, SteadyTime now,
                         std::chrono::milliseconds usableFor)
{
    socket->setDeadline(SteadyTime::max());
    m_idle.push_back({std::move(socket), now + usableFor});
}

void ConnectionPool::closeExpired(SteadyTime now)
{
    const auto expired = std::stable_partition(m_idle.begin(), m_idle.end(), [&](const Idle &idle) {
        return now < idle.expiresAt && !idle.socket->isStale();
    });
    for (auto idle = expired; idle != m_idle.end(); ++idle)
        idle->socket->abort();
    m_idle.erase(expired, m_idle.end());
}

void ConnectionPool::closeAll()
{
    for (const Idle &idle : m_idle)
        idle.socket->abort();
    m_idle.clear();
}

} // namespace almondmill
