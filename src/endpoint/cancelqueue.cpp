#include "almondmill/endpoint/cancelqueue.h"

#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/metrics/metrics.h"

namespace almondmill {

namespace {

constexpr std::size_t SenderThreads = 2;
constexpr std::size_t MaxQueuedCancels = 4096;

/// Receives an answer and discards it.
class DiscardingObserver : public AttemptObserver
{
public:
    bool onHead(const AttemptHead & /*head*/) override { return true; }
    bool onBytes(std::string_view /*bytes*/) override { return true; }
};

} // namespace

CancelQueue::CancelQueue(Metrics &metrics, std::chrono::milliseconds timeout)
    : m_timeout(timeout)
    , m_sent(metrics.counter("almondmill_cancels_sent_total"))
    , m_dropped(metrics.counter("almondmill_cancels_dropped_total"))
{
    for (std::size_t i = 0; i < SenderThreads; ++i)
        m_threads.emplace_back([this] { run(); });
}

CancelQueue::~CancelQueue()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void CancelQueue::add(const std::string &address, const std::string &attemptId)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_queue.size() >= MaxQueuedCancels) {
            m_dropped.add();
            return;
        }
        m_queue.push_back({address, attemptId});
    }
    m_changed.notify_one();
}

void CancelQueue::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_stopping)
            return;
        const Cancel cancel = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        send(cancel);
        lock.lock();
    }
}

void CancelQueue::send(const Cancel &cancel)
{
    AttemptRequest request;
    request.address = cancel.address;
    request.method = "DELETE";
    request.path = "/v1/streams/" + cancel.attemptId;
    request.attemptId = cancel.attemptId;
    request.connectTimeout = m_timeout;
    request.readTimeout = m_timeout;
    DiscardingObserver observer;
    Attempt attempt;
    if (std::holds_alternative<AttemptCompleted>(attempt.run(request, observer)))
        m_sent.add();
    else
        m_dropped.add();
}

} // namespace almondmill
