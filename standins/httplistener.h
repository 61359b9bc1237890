#pragma once

#include "httpconnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace almondmill::standin {

/// Accepts connections and passes their requests to a handler. The listener and its handler run
/// only on the event loop; objects that the handler uses must outlive the loop's `run()`.
class HttpListener
{
public:
    /// Answers one request; returns false to close the connection.
    using Handler =
            std::function<boost::asio::awaitable<bool>(const HttpRequest &, HttpConnection &)>;

    /// Binds "IP:port"; with port 0 the system chooses a free port. Throws
    /// boost::system::system_error.
    HttpListener(boost::asio::io_context &loop, const std::string &address, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Bound address as "IP:port".
    std::string address() const;

    /// Stops accepting and resets the open connections, as a crash of the process does.
    void crash();

private:
    struct State;

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state,
                                              std::shared_ptr<HttpConnection> connection);

    std::shared_ptr<State> m_state;
};

} // namespace almondmill::standin
