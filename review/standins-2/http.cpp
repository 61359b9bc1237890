// HTTP/1.1 as far as the stand-ins of the review need it: blocking sockets on loopback.

#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr int Backlog = 512;
constexpr std::size_t BufferBytes = 65536;

[[noreturn]] void throwSystemError(const char *what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void sendAll(int socket, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t got = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (got <= 0)
            throwSystemError("send");
        sent += static_cast<std::size_t>(got);
    }
}

/// Appends what arrives next; returns false at the end of the connection.
bool receive(int socket, std::string &buffer)
{
    std::string bytes(BufferBytes, '\0');
    const ssize_t got = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (got <= 0)
        return false;
    buffer.append(bytes, 0, static_cast<std::size_t>(got));
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string trim(const std::string &text)
{
    const auto from = text.find_first_not_of(" \t");
    if (from == std::string::npos)
        return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

/// Takes a head from the front of the buffer: its first line and its fields.
std::optional<std::string> takeHead(int socket, std::string &buffer,
                                    std::map<std::string, std::string> &fields)
{
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive(socket, buffer))
            return std::nullopt;
        end = buffer.find("\r\n\r\n");
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    const std::size_t firstEnd = head.find("\r\n");
    for (std::size_t from = firstEnd + 2; from < head.size();) {
        const std::size_t lineEnd = head.find("\r\n", from);
        const std::string line = head.substr(from, lineEnd - from);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            fields[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
        from = lineEnd + 2;
    }
    return head.substr(0, firstEnd);
}

/// Takes a body of the announced length; returns false if the connection ends before.
bool takeBody(int socket, std::string &buffer, const std::map<std::string, std::string> &fields,
              std::string &body)
{
    const auto length = fields.find("content-length");
    const std::size_t bytes = length == fields.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < bytes) {
        if (!receive(socket, buffer))
            return false;
    }
    body = buffer.substr(0, bytes);
    buffer.erase(0, bytes);
    return true;
}

bool takeRequest(int socket, std::string &buffer, HttpRequest &request)
{
    const auto line = takeHead(socket, buffer, request.fields);
    if (!line)
        return false;
    const std::size_t space = line->find(' ');
    const std::size_t lastSpace = line->rfind(' ');
    request.isMalformed = line->find(' ', space + 1) != lastSpace;
    request.method = line->substr(0, space);
    request.target = line->substr(space + 1, lastSpace - space - 1);
    return takeBody(socket, buffer, request.fields, request.body);
}

void serveConnection(int socket, const HttpServer::Handler &handler)
{
    setNoDelay(socket);
    std::string buffer;
    try {
        for (;;) {
            HttpRequest request;
            if (!takeRequest(socket, buffer, request))
                break;
            if (request.isMalformed)
                sendAnswer(socket, 400, "", "Connection: close\r\n");
            if (request.isMalformed || !handler(socket, request))
                break;
        }
    } catch (const std::system_error &) {
        // The peer has closed the connection.
    }
    ::close(socket);
}

} // namespace

struct HttpServer::Shared
{
    std::atomic<int> listener;
    Handler handler;
};

std::string HttpRequest::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

void sendAnswer(int socket, int status, const std::string &body, const std::string &fields)
{
    sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
                            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

HttpAnswer callOnce(const std::string &host, int port, const std::string &head,
                    const std::string &fields, const std::string &body,
                    std::chrono::milliseconds timeout)
{
    HttpAnswer answer;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return answer;
    timeval limit{};
    limit.tv_sec = static_cast<time_t>(timeout.count() / 1000);
    limit.tv_usec = static_cast<suseconds_t>(timeout.count() % 1000 * 1000);
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = addressOf(host, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        try {
            sendAll(socket, head + " HTTP/1.1\r\n" + fields + "Content-Length: "
                                    + std::to_string(body.size()) + "\r\n\r\n" + body);
            std::string buffer;
            const auto line = takeHead(socket, buffer, answer.fields);
            if (line && line->size() > 12) {
                answer.status = std::atoi(line->c_str() + 9);
                answer.isComplete = takeBody(socket, buffer, answer.fields, answer.body);
            }
        } catch (const std::system_error &) {
            // The answer stays incomplete.
        }
    }
    ::close(socket);
    return answer;
}

HttpServer::HttpServer(std::string host, int port, Handler handler)
    : m_host(std::move(host))
    , m_port(port)
    , m_shared(std::make_shared<Shared>())
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (listener < 0)
        throwSystemError("socket");
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(m_host, port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listener, Backlog) != 0) {
        ::close(listener);
        throwSystemError("bind");
    }
    m_shared->listener = listener;
    m_shared->handler = std::move(handler);
    std::thread([shared = m_shared, listener] {
        for (;;) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                break;
            std::thread([shared, socket] { serveConnection(socket, shared->handler); }).detach();
        }
    }).detach();
}

HttpServer::~HttpServer()
{
    close();
}

void HttpServer::close()
{
    const int listener = m_shared->listener.exchange(-1);
    if (listener < 0)
        return;
    ::shutdown(listener, SHUT_RDWR);
    ::close(listener);
}

} // namespace review
