#pragma once

#include "almondmill/endpoint/deadlineheap.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace almondmill {

/// Calls what belongs to a deadline when it has passed, on one thread for the whole process. The
/// HTTP library knows one read timeout a client; this tells first byte, silence and the whole
/// request apart.
class DeadlineWatch
{
public:
    DeadlineWatch();
    ~DeadlineWatch();
    DeadlineWatch(const DeadlineWatch &) = delete;
    DeadlineWatch &operator=(const DeadlineWatch &) = delete;

    /// `onPassed` must not block and must own all that it uses; it is called again and again until
    /// the deadline is ended.
    std::shared_ptr<Deadline> start(SteadyTime at, std::function<void()> onPassed);

    /// Moves a deadline to a time that may be earlier than before. Later times need no call here.
    void hurry(const std::shared_ptr<Deadline> &deadline, SteadyTime at);

    /// Lets a deadline pass at once, for good.
    void passNow(const std::shared_ptr<Deadline> &deadline);

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
