#pragma once

#include "almondmill/endpoint/attemptrunner.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace httplib {
class Client;
}

namespace almondmill {

/// Sends one request to one endpoint, once, on a connection just opened: a connection that went
/// silent while idle can't lose a request, and the library has nothing to send again.
class Attempt : public AttemptRunner
{
public:
    Attempt();
    ~Attempt() override;
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    AttemptResult run(const AttemptRequest &request, AttemptObserver &observer) override;
    void cancel() override;

private:
    std::mutex m_mutex;
    std::unique_ptr<httplib::Client> m_client;
    std::atomic<bool> m_cancelled{false};
};

} // namespace almondmill
