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

/// Connection of one caller to a stand-in. Used only from the event loop's thread. Reads and writes
/// return false if the connection is closed or has failed.
class HttpConnection
{
public:
    explicit HttpConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<bool> read(HttpRequest &request);

    /// Sends a complete response and sets its Content-Length.
    boost::asio::awaitable<bool> send(HttpAnswer answer);

    /// Sends raw bytes, such as a response head or chunks.
    boost::asio::awaitable<bool> write(std::string_view bytes);

    /// Whether the caller has closed or reset the connection.
    bool isClosedByCaller();

    /// Closes the connection with a TCP reset.
    void reset();

    /// Closes the connection without a forced reset.
    void close();

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_input;
};

} // namespace almondmill::standin
