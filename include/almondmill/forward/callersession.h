#pragma once

#include "almondmill/forward/callerrequest.h"
#include "almondmill/http/messageparser.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace almondmill {

class RequestForwarder;
class TimedSocket;
struct CallerBounds;
struct ForwardingContext;

/// One connection of a caller: reads its requests one by one and has them forwarded.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    CallerSession(ForwardingContext &context, RequestForwarder &forwarder,
                  boost::asio::ip::tcp::socket socket);
    ~CallerSession();

    /// Serves the connection until it ends.
    Awaitable<void> run();

    /// Sends bytes of the answer; false when the caller can't take them.
    Awaitable<bool> send(std::string_view bytes);

    /// Whether the connection ends after the answer under way.
    bool closesAfterAnswer() const;

    /// Calls `callback` if the caller closes its side while it waits for its answer.
    void onLeave(std::function<void()> callback);
    bool hasLeft() const { return m_left; }

    /// Ends the connection without an answer, or in the middle of one.
    void abort();

    /// Ends the connection if no request is under way.
    void closeIfIdle();

private:
    enum class Next { Serve, Close };

    Awaitable<Next> readRequest(CallerRequest &request);
    Awaitable<Next> refuse(unsigned status, std::string_view text);
    Awaitable<Next> readBody(RequestParser &parser, const CallerBounds &bounds);
    CallerBounds bounds() const;

    ForwardingContext &m_context;
    RequestForwarder &m_forwarder;
    std::shared_ptr<TimedSocket> m_socket;
    bool m_idle = true;
    bool m_callerCloses = false; ///< Asked for the connection to end.
    bool m_left = false;
};

} // namespace almondmill
