#include "almondmill/kernel/ondemandthreadpool.h"

namespace almondmill {

OnDemandThreadPool::OnDemandThreadPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{}

void OnDemandThreadPool::enqueue(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { runTasks(); });
    m_changed.notify_one();
}

void OnDemandThreadPool::shutdown()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void OnDemandThreadPool::runTasks()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_changed.wait(lock, [&] { return m_stopping || !m_tasks.empty(); });
        --m_idleThreads;
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
