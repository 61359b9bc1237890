#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace almondmill {

/// Bounded queue of bytes from the thread that reads an endpoint to the thread that writes to the
/// caller. A slow caller blocks the reader, so memory a stream is bounded by the capacity.
class EventChannel
{
public:
    explicit EventChannel(std::size_t capacityBytes);

    /// Blocks while the channel is full. False when the receiving side closed it.
    bool push(std::string bytes);

    /// The next piece; blocks while there is none. Nothing when the sender finished and all was
    /// taken.
    std::optional<std::string> pop();

    /// The sender has no more.
    void finish();

    /// The receiver wants no more; unblocks the sender.
    void close();

private:
    const std::size_t m_capacityBytes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_pieces;
    std::size_t m_bytes = 0;
    bool m_finished = false;
    bool m_closed = false;
};

} // namespace almondmill
