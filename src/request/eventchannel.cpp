#include "almondmill/request/eventchannel.h"

namespace almondmill {

namespace {
constexpr std::chrono::milliseconds CallerCheckInterval{200};
}

EventChannel::EventChannel(std::size_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{}

std::size_t EventChannel::queuedBytes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_bytes;
}

bool EventChannel::push(std::string bytes, SteadyTime arrived)
{
    Lock lock(m_mutex);
    if (m_writer && !m_closed)
        return writeDirectly(lock, {std::move(bytes), arrived});
    m_changed.wait(lock, [&] { return m_closed || fits(bytes.size()); });
    if (m_closed)
        return false;
    m_bytes += bytes.size();
    m_chunks.push_back({std::move(bytes), arrived});
    m_changed.notify_all();
    return true;
}

ChannelItem EventChannel::pop(SteadyTime until)
{
    Lock lock(m_mutex);
    const bool ready = m_changed.wait_until(
            lock, until, [&] { return m_finished || m_closed || !m_chunks.empty(); });
    if (!ready)
        return ChannelTimeout{};
    if (m_chunks.empty())
        return ChannelEnd{};
    ChannelBytes chunk = std::move(m_chunks.front());
    m_chunks.pop_front();
    m_bytes -= chunk.bytes.size();
    m_changed.notify_all();
    return chunk;
}

bool EventChannel::writeAll(const Writer &writer, const std::function<bool()> &callerGone)
{
    Lock lock(m_mutex);
    if (!drainQueue(lock, writer))
        return false;
    m_writer = &writer;
    const auto over = [this] { return m_finished || m_closed; };
    while (!m_changed.wait_for(lock, CallerCheckInterval, over))
        m_closed = callerGone();
    m_writer = nullptr;
    m_changed.wait(lock, [this] { return !m_writing; });
    return !m_closed;
}

/// Writes the queued chunks until the queue is empty. The sender appends to the queue while it
/// is being written, so the order is kept.
bool EventChannel::drainQueue(Lock &lock, const Writer &writer)
{
    while (!m_chunks.empty() && !m_closed) {
        const ChannelBytes chunk = std::move(m_chunks.front());
        m_chunks.pop_front();
        m_bytes -= chunk.bytes.size();
        m_changed.notify_all();
        lock.unlock();
        const bool written = writer(chunk);
        lock.lock();
        m_closed = m_closed || !written;
    }
    return !m_closed;
}

bool EventChannel::writeDirectly(Lock &lock, const ChannelBytes &chunk)
{
    const Writer &writer = *m_writer;
    m_writing = true;
    lock.unlock();
    const bool written = writer(chunk);
    lock.lock();
    m_writing = false;
    m_closed = m_closed || !written;
    const bool closed = m_closed;
    lock.unlock();
    if (closed)
        m_changed.notify_all();
    return !closed;
}

void EventChannel::finish()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_finished = true;
    m_changed.notify_all();
}

void EventChannel::close()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

} // namespace almondmill
