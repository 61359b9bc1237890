#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace almondmill::test {

/// Thrown by `Interleaving::step` to end the thread of a killed actor.
struct Killed
{};

/// Runs several actors as threads, only one at a time, from step to step in an order that the test
/// chooses, so that an interleaving is reproducible. An actor that is never moved simulates a
/// suspended process.
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

    /// Adds an actor and runs it up to its first step.
    void add(Body body);

    /// Resumes the actor, whose `step` returns `action`, and waits until it reaches its next step
    /// or finishes.
    void move(std::size_t actor, int action);

    /// Ends the actor at the step where it waits.
    void kill(std::size_t actor);

    /// Called by an actor's thread before each step. Blocks until `move` and returns its action, or
    /// 0 at once in a thread that is not an actor. Throws `Killed` after `kill`.
    int step();

private:
    enum class State { Waiting, Running, Finished };

    struct Actor
    {
        std::thread thread;
        State state = State::Running;
        int action = 0;
    };

    void waitUntilStopped(std::unique_lock<std::mutex> &lock, const Actor &actor);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Actor>> m_actors;
};

} // namespace almondmill::test
