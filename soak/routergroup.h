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

/// The routers of a soak, each a process of its own with a proxy on its way to the store and one on
/// the way from its callers. Belongs to the event loop.
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
    standin::FaultProxy &callersLink(std::size_t router);

    /// "IP:port" for callers, one a router, through the proxies.
    std::vector<std::string> callersAddresses() const;

    /// SIGKILL, and a new process after `downFor`.
    boost::asio::awaitable<void> kill(std::size_t router, std::chrono::milliseconds downFor);

    /// SIGTERM, and a new process after the end. A process that outlives its grace time is a
    /// violation.
    boost::asio::awaitable<void> stop(std::size_t router);

    boost::asio::awaitable<void> pause(std::size_t router, std::chrono::milliseconds lasts);
    void reload(std::size_t router);

    /// Notes processes that ended by themselves and starts them again.
    void check(SteadyTime now);

    /// SIGTERM to all; waits for their ends.
    boost::asio::awaitable<void> stopAll();

    /// Waits until each router says that it is ready; false when one does not by `until`.
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
