#pragma once

#include "almondmill/endpoint/deadlineheap.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace almondmill {

/// Runs the callbacks of expired deadlines on one thread for the whole process. The HTTP library
/// has a single read timeout per client; with deadlines, the time to the first byte, the idle time
/// between bytes and the duration of the whole request are limited separately.
class DeadlineWatch
{
public:
    DeadlineWatch();
    ~DeadlineWatch();
    DeadlineWatch(const DeadlineWatch &) = delete;
    DeadlineWatch &operator=(const DeadlineWatch &) = delete;

    /// Starts a deadline. `onExpired` must not block and must own everything that it uses; after
    /// the deadline has expired it is called repeatedly until the deadline is ended.
    std::shared_ptr<Deadline> start(SteadyTime at, std::function<void()> onExpired);

    /// Moves a deadline to a time that may be earlier than before. For a later time,
    /// `Deadline::moveTo` is sufficient.
    void reschedule(const std::shared_ptr<Deadline> &deadline, SteadyTime at);

    /// Makes a deadline expire immediately and permanently.
    void expireNow(const std::shared_ptr<Deadline> &deadline);

private:
    void run();
    void add(std::shared_ptr<Deadline> deadline);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    DeadlineHeap m_heap;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace almondmill
