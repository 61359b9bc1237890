#pragma once

#include "almondmill/forward/callerrequest.h"
#include "almondmill/http/memoryreservation.h"
#include "almondmill/http/messageparser.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

class RequestForwarder;
class TimedSocket;
struct CallerBounds;
struct ForwardingContext;

/// One caller connection: reads requests one at a time and passes each to the forwarder.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    CallerSession(ForwardingContext &context, RequestForwarder &forwarder,
                  boost::asio::ip::tcp::socket socket);
    ~CallerSession();

    /// Serves the connection until it is closed.
    Awaitable<void> run();

    /// Sends bytes of the answer, `head` and then `body`; returns false when the caller has
    /// disconnected or did not accept them in time.
    Awaitable<bool> send(std::string_view head, std::string_view body = {});

    /// Sends an answer of the router itself; only its head when the request asks for the head.
    Awaitable<bool> sendOwnAnswer(const CallerRequest &request, unsigned status,
                                  std::optional<std::chrono::milliseconds> retryAfter,
                                  std::string_view text);

    /// Begins an answer and returns the head that relays `head`. Without `bodyBytes` the body is
    /// chunked, or ends with the connection for a caller that can't read chunks. In that case the
    /// connection is reset if the answer isn't completed.
    std::string beginAnswer(const HttpHead &head, std::optional<std::size_t> bodyBytes);

    /// Whether the connection closes after the current answer, for the head that is about to be
    /// sent. The session then does what the head says, also when a planned stop begins meanwhile.
    bool closesAfterAnswer();

    /// Calls `callback` if the caller closes the connection while it waits for its answer.
    void onDisconnect(std::function<void()> callback);
    bool hasDisconnected() const { return m_disconnected; }

    /// Closes the connection at once, without an answer or in the middle of one.
    void abort();

    /// Closes the connection if no request is in flight.
    void closeIfIdle();

    /// Address of the caller, without its port.
    const std::string &callerAddress() const { return m_callerAddress; }

    /// Since when the connection has waited for a complete request; SteadyTime::max() while a
    /// request is served or bytes of one have arrived that were not read yet.
    SteadyTime waitingSince() const;

    /// Records a request that is in flight as unanswered, before the process ends.
    void recordUnfinished() const;

private:
    enum class Next { Serve, Close };

    Awaitable<bool> serve(CallerRequest &request);
    Awaitable<Next> readRequest(CallerRequest &request);
    Awaitable<Next> readRequest(RequestParser &parser, CallerRequest &request);
    Awaitable<boost::system::error_code> readWholeBody(RequestParser &parser);
    /// Tells a caller whose memory was needed for others, and whose request was not forwarded.
    Awaitable<Next> refuseEvicted();
    /// Records the memory that is held for a request that is being read, and for one to be served.
    void recordReadBytes(RequestParser &parser);
    void recordServedBytes(const CallerRequest &request);
    std::string originOf(const std::string &apiKey) const;
    void onEviction();
    SteadyTime closeIfIdleTooLong(SteadyTime idleSince);
    Awaitable<Next> refuse(unsigned status, std::string_view text);
    /// Sends a complete answer of the router and closes the connection.
    Awaitable<Next> sendLastAnswer(std::string answer);
    Awaitable<Next> readBody(RequestParser &parser, const CallerBounds &bounds);
    CallerBounds bounds() const;
    void recordUnanswered(std::string_view cause) const;

    ForwardingContext &m_context;
    RequestForwarder &m_forwarder;
    const std::string m_callerAddress; ///< Read before the socket is moved.
    std::shared_ptr<TimedSocket> m_socket;
    MemoryReservation m_memory;
    RequestParser *m_parser = nullptr; ///< While a request is being read.
    std::size_t m_requestBytes = 0;    ///< Memory of the request being served.
    SteadyTime m_waitingSince;
    std::function<void()> m_onDisconnect; ///< While a request is served.
    std::string m_requestId;              ///< Of the request in flight; it was read whole.
    std::size_t m_answerBytes = 0;        ///< Sent to the caller for that request.
    bool m_isServing = false;
    bool m_sendFailed = false;
    bool m_idle = true;
    bool m_acceptsChunks = true;
    bool m_endsWithConnection = false; ///< The body of the current answer.
    bool m_closeRequested = false;     ///< The last request asked to close the connection.
    bool m_closeAnnounced = false;     ///< The head of the current answer says that it closes.
    bool m_disconnected = false;
};

} // namespace almondmill
