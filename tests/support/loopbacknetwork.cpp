#include "support/loopbacknetwork.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace almondmill::test {

namespace {

constexpr unsigned NetworksPerOctet = 256;
constexpr unsigned FirstSecondOctet = 2;
constexpr unsigned LastSecondOctet = 249;
constexpr unsigned Networks = (LastSecondOctet - FirstSecondOctet + 1) * NetworksPerOctet;

/// The address and UDP port whose owner has reserved the network. No test uses them.
constexpr unsigned GuardHost = 254;
constexpr unsigned GuardPort = 7999;

std::string addressIn(unsigned network, unsigned host)
{
    return "127." + std::to_string(FirstSecondOctet + network / NetworksPerOctet) + "."
           + std::to_string(network % NetworksPerOctet) + "." + std::to_string(host);
}

} // namespace

LoopbackNetwork::LoopbackNetwork(unsigned first)
{
    for (unsigned tried = 0; tried < Networks; ++tried) {
        if (tryReserve((first + tried) % Networks))
            return;
    }
    throw std::runtime_error("all loopback networks are reserved");
}

LoopbackNetwork::~LoopbackNetwork()
{
    close(m_guard);
}

std::string LoopbackNetwork::address(unsigned host) const
{
    return addressIn(m_network, host);
}

bool LoopbackNetwork::tryReserve(unsigned network)
{
    const int guard = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(GuardPort);
    inet_pton(AF_INET, addressIn(network, GuardHost).c_str(), &address.sin_addr);
    if (bind(guard, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(guard);
        return false;
    }
    m_network = network;
    m_guard = guard;
    return true;
}

} // namespace almondmill::test
