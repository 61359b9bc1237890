#include "almondmill/request/eventchannel.h"

namespace almondmill {

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
    std::unique_lock<std::mutex> lock(m_mutex);
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
    std::unique_lock<std::mutex> lock(m_mutex);
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
