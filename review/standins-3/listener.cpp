#include "listener.h"

#include "channel.h"

#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

int bind(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in own = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0
        && ::listen(descriptor, SOMAXCONN) == 0)
        return descriptor;
    (void)::close(descriptor);
    return -1;
}

} // namespace

sockaddr_in socketAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    (void)::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

Listener::Listener(const std::string &address, Handler handler)
    : m_descriptor(bind(address))
    , m_handler(std::move(handler))
{
    if (m_descriptor < 0)
        throw std::runtime_error("cannot bind " + address);
    m_thread = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    (void)::shutdown(m_descriptor, SHUT_RDWR);
    m_thread.join();
    (void)::close(m_descriptor);
}

bool Listener::isFree(const std::string &address)
{
    const int descriptor = bind(address);
    if (descriptor >= 0)
        (void)::close(descriptor);
    return descriptor >= 0;
}

void Listener::accept()
{
    for (;;) {
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        const auto channel = std::make_shared<Channel>(accepted);
        std::thread([handler = m_handler, channel] { handler(*channel); }).detach();
    }
}

} // namespace review
