#include "channel.h"

#include "listener.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 65536;
constexpr int Hexadecimal = 16;

int millisecondsUntil(Channel::Time deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

HttpMessage parseHead(const std::string &text)
{
    HttpMessage message;
    std::size_t at = text.find("\r\n");
    message.startLine = text.substr(0, at);
    while (at + 2 < text.size()) {
        const std::size_t begin = at + 2;
        at = std::min(text.find("\r\n", begin), text.size());
        const std::string line = text.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return message;
}

} // namespace

Channel::Channel(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

Channel::Channel(Channel &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
{}

Channel &Channel::operator=(Channel &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
    }
    return *this;
}

Channel::~Channel()
{
    close();
}

Channel Channel::connect(const std::string &address, std::chrono::milliseconds timeout,
                         const std::string &from)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return {};
    Channel channel(descriptor);
    if (!from.empty()) {
        const sockaddr_in source = socketAddress(from + ":0");
        (void)::bind(descriptor, reinterpret_cast<const sockaddr *>(&source), sizeof(source));
    }
    const sockaddr_in peer = socketAddress(address);
    const int result =
            ::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer));
    if (result != 0 && errno != EINPROGRESS)
        return {};
    if (!channel.waitFor(POLLOUT, std::chrono::steady_clock::now() + timeout))
        return {};
    int error = 0;
    socklen_t size = sizeof(error);
    (void)::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        return {};
    return channel;
}

bool Channel::isClosedByPeer() const
{
    char byte = 0;
    const auto got = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Channel::send(const std::string &bytes, Time deadline)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count =
                ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else if (errno != EAGAIN || !waitFor(POLLOUT, deadline))
            return false;
    }
    return true;
}

bool Channel::readSome(Time deadline)
{
    std::array<char, ReadBytes> bytes;
    for (;;) {
        const auto count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
            return true;
        }
        if (count == 0 || (errno != EAGAIN && errno != EINTR) || !waitFor(POLLIN, deadline))
            return false;
    }
}

std::optional<HttpMessage> Channel::readHead(Time deadline)
{
    for (;;) {
        const auto end = m_buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            HttpMessage message = parseHead(m_buffer.substr(0, end));
            m_buffer.erase(0, end + 4);
            return message;
        }
        if (!isOpen() || !readSome(deadline))
            return std::nullopt;
    }
}

bool Channel::readBody(HttpMessage &message, Time deadline)
{
    if (message.field("Transfer-Encoding") == "chunked")
        return readChunks(message, deadline);
    const auto length =
            static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
    while (m_buffer.size() < length) {
        if (!readSome(deadline))
            return false;
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

bool Channel::readChunks(HttpMessage &message, Time deadline)
{
    for (;;) {
        const auto lineEnd = m_buffer.find("\r\n");
        const std::size_t size = lineEnd == std::string::npos
                                         ? 0
                                         : std::strtoul(m_buffer.c_str(), nullptr, Hexadecimal);
        if (lineEnd == std::string::npos || m_buffer.size() < lineEnd + size + 4) {
            if (!readSome(deadline))
                return false;
            continue;
        }
        message.body += m_buffer.substr(lineEnd + 2, size);
        m_buffer.erase(0, lineEnd + size + 4);
        if (size == 0)
            return true;
    }
}

std::optional<HttpMessage> Channel::readMessage(Time deadline)
{
    auto message = readHead(deadline);
    if (!message || !readBody(*message, deadline))
        return std::nullopt;
    return message;
}

void Channel::close()
{
    if (m_descriptor >= 0)
        (void)::close(m_descriptor);
    m_descriptor = -1;
}

void Channel::shutdown()
{
    (void)::shutdown(m_descriptor, SHUT_RDWR);
}

bool Channel::waitFor(short events, Time deadline) const
{
    pollfd waited{m_descriptor, events, 0};
    return ::poll(&waited, 1, millisecondsUntil(deadline)) > 0;
}

} // namespace review
