#pragma once

#include "soakhistory.h"

#include "support/childprocess.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace almondmill::standin {
class FaultProxy;
}

namespace almondmill::soak {

/// The routers of a soak, each a process of its own with one proxy in front of the store and one
/// in front of its listener for callers. Belongs to the event loop.
class RouterGroup
{
public:
    RouterGroup(boost::asio::io_context &loop, SoakHistory &history, std::string folder);
    ~RouterGroup();
    RouterGroup(const RouterGroup &) = delete;
    RouterGroup &operator=(const RouterGroup &) = delete;

    /// Adds routers and starts them.
    void start(std::size_t routers, const std::string &store);

    std::size_t size() const { return m_routers.size(); }
    standin::FaultProxy &storeLink(std::size_t router);
    standin::FaultProxy &callerLink(std::size_t router);

    /// "IP:port" of the proxy for callers of each router.
    std::vector<std::string> callerAddresses() const;

    /// Kills the process by SIGKILL and starts a new one after `downtime`.
    boost::asio::awaitable<void> kill(std::size_t router, std::chrono::milliseconds downtime);

    /// Terminates the process by SIGTERM and starts a new one after its end. Records a violation
    /// when the process still runs after its grace time or exits with a failure.
    boost::asio::awaitable<void> stop(std::size_t router);

    boost::asio::awaitable<void> pause(std::size_t router, std::chrono::milliseconds duration);
    void reload(std::size_t router);

    /// Records a violation for each process that ended without a fault, and restarts it.
    void check(SteadyTime now);

    /// Terminates all processes by SIGTERM and waits until they have ended.
    boost::asio::awaitable<void> stopAll();

    /// Waits until each router reports that it is ready; false when one does not by `until`.
    boost::asio::awaitable<bool> waitUntilReady(SteadyTime until);

private:
    struct Router;

    void launch(Router &router);

    /// Returns whether the process ended by `until`.
    boost::asio::awaitable<bool> waitForEnd(test::ChildProcess &process, SteadyTime until);
    boost::asio::awaitable<bool> isReady(const Router &router);

    boost::asio::io_context &m_loop;
    SoakHistory &m_history;
    std::string m_folder;
    std::vector<std::unique_ptr<Router>> m_routers;
};

} // namespace almondmill::soak
