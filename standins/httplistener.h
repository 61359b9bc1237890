#pragma once

#include "httpconnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace almondmill::standin {

/// Accepts connections and hands their requests to a handler. Belongs to the event loop, on which
/// the handler runs too; what the handler uses must outlive the loop's run.
class HttpListener
{
public:
    /// Answers one request; false ends the connection.
    using Handler =
            std::function<boost::asio::awaitable<bool>(const HttpRequest &, HttpConnection &)>;

    /// Binds "IP:port"; port 0 lets the system choose. Throws boost::system::system_error.
    HttpListener(boost::asio::io_context &loop, const std::string &address, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// "IP:port" as bound.
    std::string address() const;

    /// Takes no more connections and resets those that are open, as a crash does.
    void crash();

private:
    struct State;

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state,
                                              std::shared_ptr<HttpConnection> connection);

    std::shared_ptr<State> m_state;
};

} // namespace almondmill::standin
