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

/// Cancels requests at endpoints whose answer is no longer needed, with
/// `DELETE /v1/streams/{attempt}` sent from its own threads. A cancel that cannot be sent is
/// dropped and counted; the only consequence is that the endpoint completes work whose result is
/// unused.
class CancelQueue
{
public:
    /// `timeout` applies separately to connecting and to reading the answer of each cancel.
    CancelQueue(Metrics &metrics, std::chrono::milliseconds timeout);
    ~CancelQueue();
    CancelQueue(const CancelQueue &) = delete;
    CancelQueue &operator=(const CancelQueue &) = delete;

    /// Queues a cancel without blocking on the network. Drops and counts it when the queue is full.
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
    std::deque<Cancel> m_queue;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace almondmill
