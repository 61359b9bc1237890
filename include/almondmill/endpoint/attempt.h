#pragma once

#include "almondmill/endpoint/attemptrunner.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace almondmill {

class BoundedClient;

/// Sends one request to one endpoint exactly once, on a new connection. Without connection reuse,
/// no request is lost on an idle connection that has become unresponsive, and the HTTP library has
/// no reason to resend a request.
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
    std::unique_ptr<BoundedClient> m_client;
    std::atomic<bool> m_cancelled{false};
};

} // namespace almondmill
