#pragma once

#include "support/faultystore.h"

#include "almondmill/config/configurationsync.h"
#include "almondmill/kernel/time.h"

#include <memory>
#include <random>
#include <vector>

namespace almondmill::test {

/// Routers' configuration parts in one process, on a clock of the test's own: a shared store, calls
/// between routers as function calls, and no threads but those of the parts.
class ConfigurationFleet
{
public:
    /// `size` routers over four data centres; all are members of each other's view.
    explicit ConfigurationFleet(std::size_t size);
    ~ConfigurationFleet();

    std::size_t size() const;
    FaultyStore &store() { return m_store; }
    SteadyTime now() const { return m_now; }
    std::uint64_t version(std::size_t index) const;
    std::size_t endpointCount(std::size_t index) const;

    /// How often the router refused a configuration for that reason.
    std::uint64_t refused(std::size_t index, const std::string &reason);

    bool isWatcher(std::size_t index) const;
    ConfigurationSync &sync(std::size_t index);

    /// Whether every router that is not frozen has `version` in force.
    bool allHave(std::uint64_t version) const;

    /// A frozen router takes no step and answers no other; the others still count it as a member.
    void setFrozen(std::size_t index, bool frozen);

    /// The same for every router that now watches the root.
    void freezeWatchers();

    /// Starts the router anew, with nothing in force.
    void restart(std::size_t index);

    /// Refreshes the versions that the view of members shows.
    void refreshView();

    void storeStep(std::size_t index);
    void peerStep(std::size_t index);

    /// Lets time pass: every router takes its steps when they are due, a watch takes its whole wait
    /// unless the root changed, and each router exchanges a heartbeat with another once a second.
    void run(std::chrono::milliseconds time);

private:
    class Router;
    class Peers;

    void stepDue(Router &router);
    void exchangeHeartbeat(std::size_t index);

    FaultyStore m_store;
    SteadyTime m_now{};
    std::mt19937_64 m_random{1};
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<std::size_t> m_order;
};

} // namespace almondmill::test
