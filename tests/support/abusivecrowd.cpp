#include "support/abusivecrowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

namespace almondmill::test {

namespace {

/// Bytes that the kernel buffers for each connection of the crowd, so that a large crowd stays
/// small on the side of the test.
constexpr int SendBufferBytes = 32768;

/// Most bytes passed to the kernel at once.
constexpr std::size_t MaxWriteBytes = std::size_t(256) << 10U;

/// Connections that accept no bytes for this long are taken not to accept any more.
constexpr int StallMs = 2000;

sockaddr_in addressOf(const std::string &baseUrl)
{
    const std::string address = baseUrl.substr(std::string("http://").size());
    const auto colon = address.find(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    return target;
}

} // namespace

struct AbusiveCrowd::Member
{
    int socket = -1;
    std::size_t sent = 0;
    bool isOpen = true;
    bool isDone = false;
};

AbusiveCrowd::AbusiveCrowd(const std::string &baseUrl, std::size_t callers)
{
    const sockaddr_in target = addressOf(baseUrl);
    for (std::size_t number = 0; number < callers; ++number) {
        auto member = std::make_unique<Member>();
        member->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (member->socket < 0)
            throw std::runtime_error("cannot open a socket for the crowd");
        setsockopt(member->socket, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes, sizeof SendBufferBytes);
        const auto *address = reinterpret_cast<const sockaddr *>(&target);
        member->isOpen = connect(member->socket, address, sizeof target) == 0;
        m_members.push_back(std::move(member));
    }
}

AbusiveCrowd::~AbusiveCrowd()
{
    for (const auto &member : m_members)
        close(member->socket);
}

void AbusiveCrowd::send(const AbusiveLoad &load)
{
    bool isWaiting = true;
    while (isWaiting) {
        bool hasProgress = false;
        isWaiting = false;
        for (const auto &member : m_members) {
            hasProgress = sendStep(*member, load) || hasProgress;
            isWaiting = isWaiting || (member->isOpen && !member->isDone);
        }
        if (isWaiting && !hasProgress && !waitForSpace())
            return;
    }
}

bool AbusiveCrowd::sendStep(Member &member, const AbusiveLoad &load) const
{
    if (!member.isOpen || member.isDone)
        return false;
    std::string bytes = member.sent < load.start.size() ? load.start.substr(member.sent) : "";
    const std::size_t total = load.start.size() + load.pieces * load.piece.size();
    const std::size_t step = std::min(load.stepBytes, MaxWriteBytes);
    while (bytes.size() < step && member.sent + bytes.size() < total) {
        const std::size_t at = (member.sent + bytes.size() - load.start.size()) % load.piece.size();
        bytes.append(load.piece, at, step - bytes.size());
    }
    const ssize_t count =
            ::send(member.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
        member.isOpen = errno == EAGAIN || errno == EINTR;
        return false;
    }
    member.sent += static_cast<std::size_t>(count);
    member.isDone = member.sent >= total;
    return true;
}

bool AbusiveCrowd::waitForSpace() const
{
    std::vector<pollfd> entries;
    for (const auto &member : m_members) {
        if (member->isOpen && !member->isDone)
            entries.push_back({member->socket, POLLOUT, 0});
    }
    return poll(entries.data(), entries.size(), StallMs) > 0;
}

std::size_t AbusiveCrowd::openConnections() const
{
    return static_cast<std::size_t>(std::count_if(
            m_members.begin(), m_members.end(), [](const auto &member) { return member->isOpen; }));
}

} // namespace almondmill::test
