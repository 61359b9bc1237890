#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace almondmill::test {

/// Thrown out of a step whose actor is killed there.
struct Killed
{};

/// Runs several actors as threads of which only one moves at a time, from step to step, in an order
/// that the test chooses; so an interleaving is repeated exactly. An actor that is not moved is a
/// frozen process.
class Interleaving
{
public:
    using Body = std::function<void()>;

    Interleaving() = default;
    ~Interleaving();
    Interleaving(const Interleaving &) = delete;
    Interleaving &operator=(const Interleaving &) = delete;

    std::size_t size() const { return m_actors.size(); }
    bool finished(std::size_t actor) const;

    /// Adds an actor and lets it run up to its first step.
    void add(Body body);

    /// Lets the actor make the step that it waits at, as `action` says, up to its next one.
    void move(std::size_t actor, int action);

    /// The actor dies at the step that it waits at.
    void kill(std::size_t actor);

    /// Called by an actor's thread before each step: waits to be moved and returns the action.
    int step();

private:
    enum class Turn { Waiting, Moving, Finished };

    struct Actor
    {
        std::thread thread;
        Turn turn = Turn::Moving;
        int action = 0;
    };

    void waitUntilStill(std::unique_lock<std::mutex> &lock, const Actor &actor);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Actor>> m_actors;
};

} // namespace almondmill::test
