#include "almondmill/request/eventchannel.h"

namespace almondmill {

EventChannel::EventChannel(std::size_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{}

bool EventChannel::push(std::string bytes)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_closed || m_bytes < m_capacityBytes; });
    if (m_closed)
        return false;
    m_bytes += bytes.size();
    m_pieces.push_back(std::move(bytes));
    m_changed.notify_all();
    return true;
}

std::optional<std::string> EventChannel::pop()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_finished || m_closed || !m_pieces.empty(); });
    if (m_pieces.empty())
        return std::nullopt;
    std::string bytes = std::move(m_pieces.front());
    m_pieces.pop_front();
    m_bytes -= bytes.size();
    m_changed.notify_all();
    return bytes;
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
