#pragma once

#include "support/faultystore.h"

#include "almondmill/config/configurationsync.h"
#include "almondmill/kernel/time.h"

#include <memory>
#include <random>
#include <vector>

namespace almondmill::test {

/// Simulates the distribution of configurations among routers in one process with a simulated
/// clock. The routers share one store, call each other through function calls, and use no threads
/// except those that ConfigurationSync starts for parallel calls.
class ConfigurationFleet
{
public:
    /// Creates `size` routers in four data centres. Each router has all of them in its member view.
    explicit ConfigurationFleet(std::size_t size);
    ~ConfigurationFleet();

    std::size_t size() const;
    FaultyStore &store() { return m_store; }
    SteadyTime now() const { return m_now; }
    std::uint64_t version(std::size_t index) const;
    std::size_t endpointCount(std::size_t index) const;

    /// Number of configurations that the router refused for `reason`.
    std::uint64_t refused(std::size_t index, const std::string &reason);

    bool isWatcher(std::size_t index) const;
    ConfigurationSync &sync(std::size_t index);

    /// Whether every router that is not frozen has `version` in force.
    bool allHave(std::uint64_t version) const;

    /// Freezes or unfreezes a router. A frozen router takes no steps and does not answer, but
    /// remains a member in the views of the others.
    void setFrozen(std::size_t index, bool frozen);

    /// Freezes every router that currently watches the root.
    void freezeWatchers();

    /// Restarts the router with no configuration in force.
    void restart(std::size_t index);

    /// Updates the versions in the routers' member views.
    void refreshView();

    void storeStep(std::size_t index);
    void peerStep(std::size_t index);

    /// Advances the clock by `time`. Every router takes its steps when they are due, a watch lasts
    /// for its full wait unless the root changes, and each router exchanges a heartbeat with a
    /// random router once per second.
    void run(std::chrono::milliseconds time);

private:
    class Router;
    class Peers;

    void runDueSteps(Router &router);
    void exchangeHeartbeat(std::size_t index);

    FaultyStore m_store;
    SteadyTime m_now{};
    std::mt19937_64 m_random{1};
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<std::size_t> m_order;
};

} // namespace almondmill::test
