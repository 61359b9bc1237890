#include "support/interleaving.h"

namespace almondmill::test {

namespace {

constexpr int KillAction = -1;
thread_local void *currentActor = nullptr;

} // namespace

Interleaving::~Interleaving()
{
    for (std::size_t actor = 0; actor < m_actors.size(); ++actor) {
        while (!finished(actor))
            kill(actor);
        m_actors[actor]->thread.join();
    }
}

bool Interleaving::finished(std::size_t actor) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_actors[actor]->state == State::Finished;
}

void Interleaving::add(Body body)
{
    m_actors.push_back(std::make_unique<Actor>());
    Actor *actor = m_actors.back().get();
    actor->thread = std::thread([this, actor, body = std::move(body)] {
        currentActor = actor;
        try {
            body();
        } catch (const Killed &) {
            // The actor ends here, as a killed process does.
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        actor->state = State::Finished;
        m_changed.notify_all();
    });
    std::unique_lock<std::mutex> lock(m_mutex);
    waitUntilStopped(lock, *actor);
}

void Interleaving::move(std::size_t actor, int action)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    Actor &resumed = *m_actors[actor];
    if (resumed.state == State::Finished)
        return;
    resumed.action = action;
    resumed.state = State::Running;
    m_changed.notify_all();
    waitUntilStopped(lock, resumed);
}

void Interleaving::kill(std::size_t actor)
{
    move(actor, KillAction);
}

int Interleaving::step()
{
    auto *actor = static_cast<Actor *>(currentActor);
    if (!actor)
        return 0;
    std::unique_lock<std::mutex> lock(m_mutex);
    actor->state = State::Waiting;
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return actor->state == State::Running; });
    if (actor->action == KillAction)
        throw Killed{};
    return actor->action;
}

void Interleaving::waitUntilStopped(std::unique_lock<std::mutex> &lock, const Actor &actor)
{
    m_changed.wait(lock, [&] { return actor.state != State::Running; });
}

} // namespace almondmill::test
