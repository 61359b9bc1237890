#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmill {

class Counter;
class Metrics;

/// Tells endpoints to give up work that nobody waits for any more, `DELETE /v1/streams/{attempt}`,
/// on threads of its own. A cancel that can't be sent is dropped and counted: the endpoint's work
/// is then wasted, and nothing else.
class CancelQueue
{
public:
    /// `timeout` bounds connecting and answering of each cancel.
    CancelQueue(Metrics &metrics, std::chrono::milliseconds timeout);
    ~CancelQueue();
    CancelQueue(const CancelQueue &) = delete;
    CancelQueue &operator=(const CancelQueue &) = delete;

    /// Returns at once.
    void add(const std::string &address, const std::string &attemptId);

private:
    struct Cancel
    {
        std::string address;
        std::string attemptId;
    };

    void run();
    void send(const Cancel &cancel);

    std::chrono::milliseconds m_timeout;
    Counter &m_sent;
    Counter &m_dropped;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Cancel> m_waiting;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace almondmill
