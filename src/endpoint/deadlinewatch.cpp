#include "almondmill/endpoint/deadlinewatch.h"

#include "almondmill/endpoint/deadline.h"

namespace almondmill {

DeadlineWatch::DeadlineWatch()
    : m_thread([this] { run(); })
{}

DeadlineWatch::~DeadlineWatch()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::shared_ptr<Deadline> DeadlineWatch::start(SteadyTime at, std::function<void()> onExpired)
{
    auto deadline = std::make_shared<Deadline>(at, std::move(onExpired));
    add(deadline);
    return deadline;
}

void DeadlineWatch::reschedule(const std::shared_ptr<Deadline> &deadline, SteadyTime at)
{
    deadline->moveTo(at);
    add(deadline);
}

void DeadlineWatch::expireNow(const std::shared_ptr<Deadline> &deadline)
{
    deadline->expireNow();
    add(deadline);
}

void DeadlineWatch::add(std::shared_ptr<Deadline> deadline)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_heap.add(std::move(deadline));
    }
    m_changed.notify_all();
}

void DeadlineWatch::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        const auto expired = m_heap.takeExpired(std::chrono::steady_clock::now());
        if (!expired.empty()) {
            lock.unlock();
            for (const auto &deadline : expired)
                deadline->expire();
            lock.lock();
            continue;
        }
        if (const auto next = m_heap.next())
            m_changed.wait_until(lock, *next);
        else
            m_changed.wait(lock);
    }
}

} // namespace almondmill
