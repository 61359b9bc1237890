#pragma once

#include "almondmill/fleet/membership.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondmill::test {

/// Membership instances connected by a simulated network, with a simulated clock.
class FakeFleet
{
public:
    /// Returns whether a message from one node to another is delivered.
    using Link = std::function<bool(std::size_t from, std::size_t to)>;

    static constexpr std::chrono::milliseconds Step{100};

    explicit FakeFleet(std::size_t nodes, std::uint64_t seed = 1);

    SteadyTime now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    std::size_t messages() const { return m_messages; }
    static std::string address(std::size_t node) { return "node-" + std::to_string(node); }
    bool running(std::size_t node) const { return m_nodes[node].running; }
    Membership &membership(std::size_t node) { return *m_nodes[node].membership; }

    /// Whether `member` is in the view of `observer`.
    bool sees(std::size_t observer, std::size_t member) const;

    /// Whether the view of every running node contains exactly the running nodes.
    bool converged() const;

    /// How often a running node removed another running node from its view.
    std::size_t falseDeaths() const { return m_falseDeaths; }

    void setLink(Link link) { m_link = std::move(link); }
    void run(std::chrono::milliseconds time);

    /// Runs until `converged()`. Returns the simulated time that it took, or `std::nullopt` if it
    /// took longer than `limit`.
    std::optional<std::chrono::milliseconds> runUntilConverged(std::chrono::milliseconds limit);

    /// Stops a node, which keeps its state like a process under SIGSTOP.
    void pause(std::size_t node) { m_nodes[node].running = false; }
    void resume(std::size_t node) { m_nodes[node].running = true; }

    /// Replaces the node by a new incarnation at the same address. Adds a node if `node` equals
    /// `size()`.
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
    void countFalseDeaths();

    std::vector<Node> m_nodes;
    Link m_link;
    SteadyTime m_now{std::chrono::hours(1)};
    std::uint64_t m_seed;
    std::uint64_t m_revision = 1;
    std::size_t m_messages = 0;
    std::size_t m_falseDeaths = 0;
};

} // namespace almondmill::test
