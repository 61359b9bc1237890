#pragma once

#include "almondmill/fleet/membership.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondmill::test {

/// Memberships joined by a network of function calls, on a clock of its own.
class FakeFleet
{
public:
    /// Whether a message from one node to another arrives.
    using Link = std::function<bool(std::size_t from, std::size_t to)>;

    static constexpr std::chrono::milliseconds Step{100};

    explicit FakeFleet(std::size_t nodes, std::uint64_t seed = 1);

    SteadyTime now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    std::size_t messages() const { return m_messages; }
    static std::string address(std::size_t node) { return "node-" + std::to_string(node); }
    bool running(std::size_t node) const { return m_nodes[node].running; }
    Membership &membership(std::size_t node) { return *m_nodes[node].membership; }

    /// Whether `observer` holds `member` live.
    bool sees(std::size_t observer, std::size_t member) const;

    /// Whether every running node holds live exactly the running nodes.
    bool converged() const;

    /// How often a running node dropped a running one that it had held live.
    std::size_t wrongDeaths() const { return m_wrongDeaths; }

    void setLink(Link link) { m_link = std::move(link); }
    void run(std::chrono::milliseconds time);

    /// Runs until `converged`; the time it took, or nothing when `limit` was too short.
    std::optional<std::chrono::milliseconds> runUntilConverged(std::chrono::milliseconds limit);

    /// Stops a node. It keeps its state, as a paused process does.
    void pause(std::size_t node) { m_nodes[node].running = false; }
    void resume(std::size_t node) { m_nodes[node].running = true; }

    /// Starts a new process at the node's address; adds the node if it is the next one.
    void restart(std::size_t node);

private:
    struct Node
    {
        std::unique_ptr<Membership> membership;
        bool running = true;
        std::uint64_t viewVersion = 0;
        std::vector<bool> seen;
    };

    void step();
    void deliver(std::size_t from, const Probe &probe);
    bool roundTrip(std::size_t from, std::size_t to) const;
    static std::size_t indexOf(const std::string &address);
    void countWrongDeaths();

    std::vector<Node> m_nodes;
    Link m_link;
    SteadyTime m_now{std::chrono::hours(1)};
    std::uint64_t m_seed;
    std::uint64_t m_revision = 1;
    std::size_t m_messages = 0;
    std::size_t m_wrongDeaths = 0;
};

} // namespace almondmill::test
