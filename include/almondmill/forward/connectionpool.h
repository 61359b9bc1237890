#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace almondmill {

class TimedSocket;

/// Connections to one endpoint that wait for their next request.
class ConnectionPool
{
public:
    /// The connection used last, if it can still be used; null when there is none.
    std::shared_ptr<TimedSocket> take(SteadyTime now);

    /// Keeps a connection for at most `usableFor`.
    void put(std::shared_ptr<TimedSocket> socket, SteadyTime now,
             std::chrono::milliseconds usableFor);

    /// Closes those that may not be used any more.
    void closeExpired(SteadyTime now);
    void closeAll();

    std::size_t size() const { return m_idle.size(); }

private:
    struct Idle
    {
        std::shared_ptr<TimedSocket> socket;
        SteadyTime until;
    };

    std::vector<Idle> m_idle; ///< In the order of their last use.
};

} // namespace almondmill
