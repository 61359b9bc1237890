#include "support/rawendpoint.h"

#include "support/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace almondmill::test {

namespace {

constexpr std::uint16_t Port = 8000;
constexpr int Backlog = 64;

std::size_t contentLength(const std::string &head)
{
    const std::string name = "Content-Length: ";
    const auto found = head.find(name);
    return found == std::string::npos ? 0 : std::stoul(head.substr(found + name.size()));
}

} // namespace

RawEndpoint::RawEndpoint(Behaviour behaviour)
    : RawEndpoint(nextLoopbackAddress(), std::move(behaviour))
{}

RawEndpoint::RawEndpoint(const std::string &host, Behaviour behaviour)
    : m_behaviour(std::move(behaviour))
    , m_address(host + ":" + std::to_string(Port))
{
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(Port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(m_listener, Backlog) != 0)
        throw std::system_error(errno, std::generic_category(),
                                "cannot bind and listen on " + m_address);
    m_acceptor = std::thread([this] { accept(); });
}

RawEndpoint::~RawEndpoint()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int connection : m_sockets)
            shutdown(connection, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads)
        thread.join();
    for (const int connection : m_sockets)
        close(connection);
}

void RawEndpoint::crash()
{
    shutdown(m_listener, SHUT_RDWR);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const int connection : m_sockets)
        shutdown(connection, SHUT_RDWR);
}

std::string RawEndpoint::readCall(int socket)
{
    std::string request;
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto end = request.find("\r\n\r\n");
        if (end != std::string::npos && request.size() >= end + 4 + contentLength(request))
            return request;
        const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return request;
        request.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

bool RawEndpoint::write(int socket, const std::string &bytes)
{
    return send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
}

void RawEndpoint::resetOnClose(int socket)
{
    const linger option{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void RawEndpoint::reset(int socket)
{
    const sockaddr none{AF_UNSPEC, {}};
    (void)connect(socket, &none, sizeof none);
}

void RawEndpoint::waitForBytes(int socket)
{
    char byte = 0;
    (void)recv(socket, &byte, 1, MSG_PEEK);
}

void RawEndpoint::waitForClose(int socket)
{
    std::array<char, 4096> buffer{};
    while (recv(socket, buffer.data(), buffer.size(), 0) > 0)
        continue;
}

void RawEndpoint::serve(int socket)
{
    const std::string call = readCall(socket);
    if (call.starts_with("GET /v1/status ")) {
        write(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    m_behaviour(socket, call, m_calls++);
}

void RawEndpoint::accept()
{
    for (;;) {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            return;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_sockets.push_back(connection);
        const std::size_t index = m_sockets.size() - 1;
        m_threads.emplace_back([this, connection, index] {
            serve(connection);
            const std::lock_guard<std::mutex> closing(m_mutex);
            close(connection);
            m_sockets[index] = -1;
        });
    }
}

} // namespace almondmill::test
