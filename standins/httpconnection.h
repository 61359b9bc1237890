#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace almondmill::standin {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// One connection of a caller to a stand-in. Belongs to the event loop. Its calls return false when
/// the connection has ended.
class HttpConnection
{
public:
    explicit HttpConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<bool> read(HttpRequest &request);

    /// Sends a whole answer with its length.
    boost::asio::awaitable<bool> send(HttpAnswer answer);

    /// Sends bytes as they are, such as a head and chunks.
    boost::asio::awaitable<bool> write(std::string_view bytes);

    /// Whether the caller closed its side.
    bool callerLeft();

    /// Ends the connection with a reset.
    void reset();

    /// Ends the connection after what was sent.
    void close();

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_input;
};

} // namespace almondmill::standin
