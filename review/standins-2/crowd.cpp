#include "crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

/// `max_body_bytes` of the desired state, and what each caller leaves out.
constexpr std::size_t BodyBytes = 4194304;
constexpr std::size_t MissingBytes = 4;
constexpr std::size_t PieceBytes = 65536;
constexpr int WaitMs = 20;

/// States of the kernel's table of connections in which bytes may wait.
constexpr int Established = 1;
constexpr int CloseWait = 8;

struct Caller
{
    int socket = -1;
    std::string head;
    std::size_t sent = 0;
};

bool hasSentAll(const Caller &caller)
{
    return caller.sent >= caller.head.size() + BodyBytes - MissingBytes;
}

/// Sends a piece of what the connection takes now; returns false if it is closed.
bool sendSome(Caller &caller, const std::string &piece)
{
    if (hasSentAll(caller))
        return true;
    const std::size_t all = caller.head.size() + BodyBytes - MissingBytes;
    const bool isHead = caller.sent < caller.head.size();
    const char *bytes = isHead ? caller.head.data() + caller.sent : piece.data();
    const std::size_t left =
            isHead ? caller.head.size() - caller.sent : std::min(piece.size(), all - caller.sent);
    const ssize_t sent = ::send(caller.socket, bytes, left, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0)
        caller.sent += static_cast<std::size_t>(sent);
    return sent > 0 || errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN;
}

/// Whether the router has answered or closed the connection.
bool hasEnded(const Caller &caller)
{
    char byte = 0;
    const ssize_t got = ::recv(caller.socket, &byte, 1, MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS);
}

void raiseDescriptorLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

Crowd::Crowd(std::string ip, int port, int callers)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_callers(callers)
{
    raiseDescriptorLimit();
}

void Crowd::visit(int visit, std::chrono::milliseconds length) const
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(m_port));
    inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
    const int events = epoll_create1(EPOLL_CLOEXEC);
    std::vector<Caller> callers(static_cast<std::size_t>(m_callers));
    for (std::size_t number = 0; number < callers.size(); ++number) {
        Caller &caller = callers[number];
        caller.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        caller.head = "POST /entry/crowd HTTP/1.1\r\nHost: herd.example\r\nRequest-Id: crowd-"
                      + m_ip + "-" + std::to_string(visit) + "-" + std::to_string(number)
                      + "\r\nDeadline-Ms: 2500\r\nContent-Length: " + std::to_string(BodyBytes)
                      + "\r\n\r\n";
        (void)::connect(caller.socket, reinterpret_cast<const sockaddr *>(&address),
                        sizeof(address));
        epoll_event event{};
        event.events = EPOLLIN | EPOLLOUT;
        event.data.u64 = number;
        epoll_ctl(events, EPOLL_CTL_ADD, caller.socket, &event);
    }
    const std::string piece(PieceBytes, 'x');
    const auto until = std::chrono::steady_clock::now() + length;
    std::array<epoll_event, 256> ready{};
    while (std::chrono::steady_clock::now() < until) {
        const int count = epoll_wait(events, ready.data(), static_cast<int>(ready.size()), WaitMs);
        for (int index = 0; index < count; ++index) {
            Caller &caller = callers[ready.at(static_cast<std::size_t>(index)).data.u64];
            if (caller.socket < 0)
                continue;
            // One piece at a time, so that all callers send side by side.
            const bool isOpen = sendSome(caller, piece);
            if (!isOpen || hasEnded(caller)) {
                ::close(caller.socket);
                caller.socket = -1;
            } else if (hasSentAll(caller)) {
                epoll_event event{};
                event.events = EPOLLIN;
                event.data.u64 = ready.at(static_cast<std::size_t>(index)).data.u64;
                epoll_ctl(events, EPOLL_CTL_MOD, caller.socket, &event);
            }
        }
    }
    for (const Caller &caller : callers) {
        if (caller.socket >= 0)
            ::close(caller.socket);
    }
    ::close(events);
}

std::size_t unreadBytes(const std::string &ip, int port)
{
    in_addr wanted{};
    inet_pton(AF_INET, ip.c_str(), &wanted);
    std::ifstream table("/proc/net/tcp");
    std::size_t bytes = 0;
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::replace(line.begin(), line.end(), ':', ' ');
        std::istringstream fields(line);
        std::string entry;
        std::uint32_t address = 0;
        int localPort = 0;
        std::string peer;
        std::string peerPort;
        int state = 0;
        std::string toSend;
        std::size_t received = 0;
        fields >> entry >> std::hex >> address >> localPort >> peer >> peerPort >> state >> toSend
                >> received;
        const bool isOpen = state == Established || state == CloseWait;
        if (address == wanted.s_addr && localPort == port && isOpen)
            bytes += received;
    }
    return bytes;
}

} // namespace review
