#include "httpconnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace almondmill::standin {

namespace asio = boost::asio;

using ErrorCode = boost::system::error_code;

HttpConnection::HttpConnection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    ErrorCode ignored; // Failing to set TCP_NODELAY only adds latency.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<bool> HttpConnection::read(HttpRequest &request)
{
    // The routers limit the bodies that they forward.
    boost::beast::http::request_parser<HttpRequest::body_type> parser;
    parser.body_limit(boost::none);
    ErrorCode error;
    co_await boost::beast::http::async_read(m_socket, m_input, parser,
                                            asio::redirect_error(asio::use_awaitable, error));
    request = parser.release();
    co_return !error;
}

asio::awaitable<bool> HttpConnection::send(HttpAnswer answer)
{
    answer.prepare_payload();
    ErrorCode error;
    co_await boost::beast::http::async_write(m_socket, answer,
                                             asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> HttpConnection::write(std::string_view bytes)
{
    ErrorCode error;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

bool HttpConnection::isClosedByCaller()
{
    if (!m_socket.is_open())
        return true;
    char byte = 0;
    const auto bytesRead = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return bytesRead == 0 || (bytesRead < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpConnection::reset()
{
    ErrorCode ignored; // The socket is closed even if the option cannot be set.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void HttpConnection::close()
{
    ErrorCode ignored; // The socket is closed even if the shutdown fails.
    m_socket.shutdown(asio::socket_base::shutdown_both, ignored);
    m_socket.close(ignored);
}

} // namespace almondmill::standin
