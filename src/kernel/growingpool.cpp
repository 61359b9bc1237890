#include "almondmill/kernel/growingpool.h"

namespace almondmill {

GrowingPool::GrowingPool(std::size_t mostThreads)
    : m_mostThreads(mostThreads)
{}

void GrowingPool::enqueue(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle && m_threads.size() < m_mostThreads)
        m_threads.emplace_back([this] { work(); });
    m_changed.notify_one();
}

void GrowingPool::shutdown()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void GrowingPool::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        ++m_idle;
        m_changed.wait(lock, [&] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace almondmill
