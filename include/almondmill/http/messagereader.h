#pragma once

#include "almondmill/http/messageparser.h"
#include "almondmill/http/timedsocket.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace almondmill {

/// Reads a message from a connection incrementally.
template<bool IsRequest>
class MessageReader
{
public:
    using ErrorCode = boost::system::error_code;
    using Parser = MessageParser<IsRequest>;

    MessageReader(TimedSocket &socket, Parser &parser)
        : m_socket(socket)
        , m_parser(parser)
    {}

    /// Reads until the head is complete. After an error the connection must not be used again.
    boost::asio::awaitable<ErrorCode> readHead()
    {
        for (;;) {
            const ErrorCode parsed = parseHead();
            if (parsed || m_parser.is_header_done())
                co_return parsed;
            if (hasExcessInput())
                co_return boost::beast::http::error::buffer_overflow;
            const ErrorCode received = co_await m_socket.readSome();
            if (received)
                co_return received;
        }
    }

    /// Reads until more body bytes have arrived or the message is complete. A body without a length
    /// ends when the peer closes the connection; a connection reset is an error.
    boost::asio::awaitable<ErrorCode> readBodySome()
    {
        for (;;) {
            const std::size_t before = m_parser.body().size();
            const ErrorCode parsed = parseAll();
            if (parsed || m_parser.is_done() || m_parser.body().size() > before)
                co_return parsed;
            if (hasExcessInput())
                co_return boost::beast::http::error::buffer_overflow;
            const ErrorCode received = co_await m_socket.readSome();
            if (received == boost::asio::error::eof && m_parser.need_eof()) {
                ErrorCode ended;
                m_parser.put_eof(ended);
                co_return ended;
            }
            if (received)
                co_return received;
        }
    }

    /// Reads the rest of the message.
    boost::asio::awaitable<ErrorCode> readBody()
    {
        while (!m_parser.is_done()) {
            const ErrorCode error = co_await readBodySome();
            if (error)
                co_return error;
        }
        co_return ErrorCode();
    }

private:
    /// Bytes that may wait for the end of one element of the message. A chunk header or a trailer
    /// without end would otherwise fill the memory.
    static constexpr std::size_t MaxUnparsedBytes = std::size_t(256) << 10U;

    bool hasExcessInput() const { return m_socket.input().size() > MaxUnparsedBytes; }

    ErrorCode parseHead()
    {
        while (!m_parser.is_header_done() && !m_socket.input().empty()) {
            ErrorCode error;
            if (!put(error))
                return error;
        }
        return {};
    }

    ErrorCode parseAll()
    {
        while (!m_parser.is_done() && !m_socket.input().empty()) {
            ErrorCode error;
            if (!put(error))
                return error;
        }
        return {};
    }

    /// Passes the input to the parser once. Returns false if the parser needs more bytes or fails.
    bool put(ErrorCode &error)
    {
        const std::size_t used = m_parser.put(
                boost::asio::buffer(m_socket.input().data(), m_socket.input().size()), error);
        m_socket.consume(used);
        if (error == boost::beast::http::error::need_more) {
            error = {};
            return false;
        }
        return !error;
    }

    TimedSocket &m_socket;
    Parser &m_parser;
};

} // namespace almondmill
