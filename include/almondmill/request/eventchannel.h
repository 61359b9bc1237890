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

/// Bytes for the caller.
struct ChannelBytes
{
    std::string bytes;
    SteadyTime arrived; ///< When they came from the endpoint.
};

/// The sender finished, or either side closed the channel; all bytes were taken.
struct ChannelEnd
{};

/// Nothing came in the time given.
struct ChannelQuiet
{};

using ChannelItem = std::variant<ChannelBytes, ChannelEnd, ChannelQuiet>;

/// Bounded queue of bytes from the thread that reads an endpoint to the thread that serves the
/// caller. A slow caller blocks the reader, so memory a stream is bounded by the capacity, or by
/// one piece where that alone is larger. While the receiver is in `writeAll`, pieces are written by
/// the sender's thread at once, which saves each of them a change of threads.
class EventChannel
{
public:
    /// Writes a piece to the caller; false when that fails.
    using Writer = std::function<bool(const ChannelBytes &)>;

    explicit EventChannel(std::size_t capacityBytes);

    /// Bytes waiting now.
    std::size_t waitingBytes() const;

    /// Blocks while the piece does not fit. False when the receiving side closed the channel.
    bool push(std::string bytes, SteadyTime arrived);

    /// The next piece; blocks until there is one, the end, or `until`.
    ChannelItem pop(SteadyTime until);

    /// Writes all pieces with `writer`, on this thread or the sender's, until the end. Asks
    /// `callerGone` now and then. False when a piece could not be written or the caller is gone;
    /// the channel is closed then.
    bool writeAll(const Writer &writer, const std::function<bool()> &callerGone);

    /// The sender has no more.
    void finish();

    /// The receiver wants no more; unblocks the sender.
    void close();

private:
    using Lock = std::unique_lock<std::mutex>;

    bool writeWaiting(Lock &lock, const Writer &writer);
    bool writeDirectly(Lock &lock, const ChannelBytes &piece);
    bool fits(std::size_t size) const { return m_bytes == 0 || m_bytes + size <= m_capacityBytes; }

    const std::size_t m_capacityBytes;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<ChannelBytes> m_pieces;
    std::size_t m_bytes = 0;
    const Writer *m_writer = nullptr; ///< Set while the sender's thread may write.
    bool m_writing = false;           ///< The sender's thread is in the writer.
    bool m_finished = false;
    bool m_closed = false;
};

} // namespace almondmill
