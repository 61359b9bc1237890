#pragma once

#include "almondmill/kernel/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <variant>

namespace almondmill {

/// A chunk of bytes for the caller.
struct ChannelBytes
{
    std::string bytes;
    SteadyTime arrived; ///< When they arrived from the endpoint.
};

/// The sender finished or the channel was closed, and all chunks were received.
struct ChannelEnd
{};

/// No chunk arrived within the given time.
struct ChannelTimeout
{};

using ChannelItem = std::variant<ChannelBytes, ChannelEnd, ChannelTimeout>;

/// Bounded queue of bytes from the thread that reads an endpoint to the thread that serves the
/// caller. A slow caller blocks the reader, so the memory of a stream is limited to the capacity,
/// or to one chunk where that alone is larger. While the receiver is in `writeAll`, the sender's
/// thread writes each chunk directly, which saves a thread switch per chunk.
class EventChannel
{
public:
    /// Writes a chunk to the caller. False when that fails.
    using Writer = std::function<bool(const ChannelBytes &)>;

    explicit EventChannel(std::size_t capacityBytes);

    /// Bytes in the queue at present.
    std::size_t queuedBytes() const;

    /// Blocks while the chunk does not fit. False when the channel is closed.
    bool push(std::string bytes, SteadyTime arrived);

    /// Returns the next chunk. Blocks until there is one, until the end, or until `until`.
    ChannelItem pop(SteadyTime until);

    /// Writes all chunks with `writer`, on this thread or the sender's, until the end. Polls
    /// `callerGone` every 200 ms. Closes the channel and returns false when a chunk cannot be
    /// written or the caller is gone.
    bool writeAll(const Writer &writer, const std::function<bool()> &callerGone);

    /// Marks the end; called by the sender after its last chunk.
    void finish();

    /// Stops the transfer; called by the receiver. Unblocks the sender.
    void close();

private:
    using Lock = std::unique_lock<std::mutex>;

    bool drainQueue(Lock &lock, const Writer &writer);
    bool writeDirectly(Lock &lock, const ChannelBytes &chunk);
    bool fits(std::size_t size) const { return m_bytes == 0 || m_bytes + size <= m_capacityBytes; }

    const std::size_t m_capacityBytes;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<ChannelBytes> m_chunks;
    std::size_t m_bytes = 0;
    const Writer *m_writer = nullptr; ///< Set while the sender's thread may write directly.
    bool m_writing = false;           ///< Whether the sender's thread is in the writer.
    bool m_finished = false;
    bool m_closed = false;
};

} // namespace almondmill
