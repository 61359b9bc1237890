#pragma once

#include "almondmill/endpoint/attemptresult.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace httplib {
class Client;
}

namespace almondmill {

class AttemptObserver;
struct AttemptRequest;

/// Sends one request to one endpoint, once, on a connection just opened: a connection that went
/// silent while idle can't lose a request, and the library has nothing to send again.
class Attempt
{
public:
    Attempt();
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// Blocks until the answer is whole, the attempt fails or `cancel` is called.
    AttemptResult run(const AttemptRequest &request, AttemptObserver &observer);

    /// Ends a running `run` from another thread, or lets the next one end at once.
    void cancel();

private:
    std::mutex m_mutex;
    std::unique_ptr<httplib::Client> m_client;
    std::atomic<bool> m_cancelled{false};
};

} // namespace almondmill
