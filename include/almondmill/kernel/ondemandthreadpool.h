#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace almondmill {

/// Thread pool for an HTTP server. Starts a thread, up to `maxThreads`, when a task is queued and
/// no thread is idle, so that a server under low load has few threads. Threads run until
/// `shutdown`.
class OnDemandThreadPool : public httplib::TaskQueue
{
public:
    explicit OnDemandThreadPool(std::size_t maxThreads);

    void enqueue(std::function<void()> task) override;

    /// Runs the queued tasks, then joins all threads.
    void shutdown() override;

private:
    void runTasks();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_stopping = false;
};

} // namespace almondmill
