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

/// Threads for an HTTP server, started when there is work and none is idle, so that a server that
/// is asked little holds few. A started thread stays until the end.
class GrowingPool : public httplib::TaskQueue
{
public:
    explicit GrowingPool(std::size_t mostThreads);

    void enqueue(std::function<void()> task) override;

    /// Finishes what is queued and ends all threads.
    void shutdown() override;

private:
    void work();

    const std::size_t m_mostThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace almondmill
