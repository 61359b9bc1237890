#pragma once

#include "almondmill/directory/softwarehash.h"
#include "almondmill/forward/softwarehistory.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/keyowners.h"
#include "almondmill/peers/streamoriginmessages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// Remembers at which software each stream began that callers may take up again, at this router or
/// at another one. While a service runs several versions, or may have, each router reports its
/// streams to their owners; the router at which a caller takes a stream up asks them. Where nobody
/// knows the stream and it may have begun at several versions, its origin stays unknown.
///
/// What this router knows of a service's versions may be out of date after a cut or a pause, and
/// the owners may be gone. An endpoint is registered before it serves, so a view of the
/// registrations as of the question contains the version that began the stream. Without such a
/// view, most owners have to know of the same only version.
///
/// Times are on the boot clock. Must be used on the event loop only.
class StreamOrigins
{
public:
    /// Sends a datagram to the router of that name.
    using Sender = std::function<void(const std::string &router, std::string_view bytes)>;

    /// This router's view of the endpoints that are registered in the platform's store.
    struct View
    {
        /// Whether it was up to date a short time before `now`.
        std::function<bool(SteadyTime now)> isFresh;
        /// Brings it up to date; completes with whether it contains all that was registered before.
        std::function<boost::asio::awaitable<bool>()> confirm;
    };

    /// Origins that are remembered; the oldest ones give way.
    static constexpr std::size_t MaxOrigins = 20000;

    StreamOrigins(boost::asio::io_context &loop, const SoftwareHistory &history);
    ~StreamOrigins();

    /// Sets the view of the registrations. Without one it is never confirmed.
    void setView(View view) { m_view = std::move(view); }

    /// Begins to take part as router `self`. Before that, this router knows of no others.
    void start(const std::string &self, Sender send);

    void addRouter(const std::string &name);

    /// Records that a router sent a message; `isLeaving` when it said that it shuts down.
    void recordMessage(const std::string &router, bool isLeaving);

    /// Records that events of a stream, which the request `requestId` began, are passed on to the
    /// caller. Must be called before they are.
    void record(std::string_view requestId, std::string_view service, SoftwareHash software,
                SteadyTime now);

    /// The software at which the stream that the request `requestId` began may go on; nothing when
    /// that can't be known. Completes within a bounded time.
    boost::asio::awaitable<std::optional<SoftwareHash>> find(std::string requestId,
                                                             std::string service, SteadyTime now);

    /// Reports the streams that began before their service ran several versions.
    void reportOpen(SteadyTime now);

    void handleReport(const StreamOriginReport &report, SteadyTime now);
    StreamOriginReply answer(const StreamOriginQuestion &question, SteadyTime now) const;
    void handleReply(const StreamOriginReply &reply);

    std::size_t size() const { return m_origins.size(); }

private:
    struct Origin
    {
        SoftwareHash software = 0;
        SteadyTime recordedAt;
        std::uint32_t service = 0; ///< Short hash; zero for streams of other routers.
        bool isReported = false;
    };

    struct Question;

    /// How far what is known of a service's versions can be trusted.
    enum class Trust {
        None,
        OfOwners, ///< Most owners know of the same only version.
        OfView,   ///< The view of the registrations was confirmed since the question came.
    };

    std::optional<SoftwareHash> findKnown(std::uint64_t stream, SteadyTime now) const;
    boost::asio::awaitable<void> ask(Question &question);
    /// Asks those owners that have not answered.
    void sendQuestion(Question &question);
    boost::asio::awaitable<Trust> establishTrust(const Question &question, SteadyTime now);
    /// The routers that keep the stream's origin, this one may be among them.
    std::vector<std::string> ownersOf(std::uint64_t stream) const;
    std::vector<std::string> otherOwnersOf(std::uint64_t stream) const;
    void store(std::uint64_t stream, const Origin &origin);
    void dropOld(SteadyTime now);
    bool mayBeMixed(std::uint32_t service, SteadyTime now) const;
    void sendReport(const std::string &owner, std::vector<StreamOrigin> origins) const;

    boost::asio::io_context &m_loop;
    const SoftwareHistory &m_history;
    KeyOwners m_owners;
    std::size_t m_routers = 0;
    std::string m_self;
    Sender m_send;
    View m_view;
    absl::flat_hash_map<std::uint64_t, Origin> m_origins; ///< By stream.
    std::deque<std::uint64_t> m_order;                    ///< Streams, the oldest record first.
    std::uint32_t m_lastId = 0;
    absl::flat_hash_map<std::uint32_t, Question *> m_questions; ///< By id.
};

} // namespace almondmill
