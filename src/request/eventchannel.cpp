#include "almondmill/request/eventchannel.h"

namespace almondmill {

namespace {
constexpr std::chrono::milliseconds CallerCheckInterval{200};
}

EventChannel::EventChannel(std::size_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{}

std::size_t EventChannel::waitingBytes() const
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
    m_pieces.push_back({std::move(bytes), arrived});
    m_changed.notify_all();
    return true;
}

ChannelItem EventChannel::pop(SteadyTime until)
{
    Lock lock(m_mutex);
    const bool ready = m_changed.wait_until(
            lock, until, [&] { return m_finished || m_closed || !m_pieces.empty(); });
    if (!ready)
        return ChannelQuiet{};
    if (m_pieces.empty())
        return ChannelEnd{};
    ChannelBytes piece = std::move(m_pieces.front());
    m_pieces.pop_front();
    m_bytes -= piece.bytes.size();
    m_changed.notify_all();
    return piece;
}

bool EventChannel::writeAll(const Writer &writer, const std::function<bool()> &callerGone)
{
    Lock lock(m_mutex);
    if (!writeWaiting(lock, writer))
        return false;
    m_writer = &writer;
    const auto over = [this] { return m_finished || m_closed; };
    while (!m_changed.wait_for(lock, CallerCheckInterval, over))
        m_closed = callerGone();
    m_writer = nullptr;
    m_changed.wait(lock, [this] { return !m_writing; });
    return !m_closed;
}

/// Empties the queue. The sender may add to it meanwhile, so that order is kept.
bool EventChannel::writeWaiting(Lock &lock, const Writer &writer)
{
    while (!m_pieces.empty() && !m_closed) {
        const ChannelBytes piece = std::move(m_pieces.front());
        m_pieces.pop_front();
        m_bytes -= piece.bytes.size();
        m_changed.notify_all();
        lock.unlock();
        const bool written = writer(piece);
        lock.lock();
        m_closed = m_closed || !written;
    }
    return !m_closed;
}

bool EventChannel::writeDirectly(Lock &lock, const ChannelBytes &piece)
{
    const Writer &writer = *m_writer;
    m_writing = true;
    lock.unlock();
    const bool written = writer(piece);
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
