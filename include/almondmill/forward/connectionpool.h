#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace almondmill {

class TimedSocket;

/// Idle keep-alive connections to one endpoint.
class ConnectionPool
{
public:
    /// Returns the most recently used connection that is still usable; null when there is none.
    std::shared_ptr<TimedSocket> take(SteadyTime now);

    /// Returns a connection to the pool; it may be reused for at most `usableFor`.
    void put(std::shared_ptr<TimedSocket> socket, SteadyTime now,
             std::chrono::milliseconds usableFor);

    /// Closes connections that have expired or that the endpoint has closed.
    void closeExpired(SteadyTime now);
    void closeAll();

    std::size_t size() const { return m_idle.size(); }

private:
    struct Idle
    {
        std::shared_ptr<TimedSocket> socket;
        SteadyTime expiresAt;
    };

    std::vector<Idle> m_idle; ///< Ordered by last use, most recent last.
};

} // namespace almondmill
