#include "almondmill/kernel/httplisten.h"

#include "almondmill/kernel/error.h"

#include <httplib.h>

#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <thread>

namespace almondmill {

namespace {
constexpr int ListenBacklog = 1024;
constexpr std::chrono::milliseconds RunningPollInterval{1};
} // namespace

int bindWithBacklog(httplib::Server &server, const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw Error("kernel.102", "address '" + address + "' has no port, expected \"IP:port\"");
    const std::string host = address.substr(0, colon);
    const int port = std::atoi(address.substr(colon + 1).c_str());
    auto descriptor = std::make_shared<std::atomic<int>>(-1);
    server.set_socket_options([descriptor](int socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        *descriptor = socket;
    });
    int bound = port;
    if (port == 0)
        bound = server.bind_to_any_port(host);
    else if (!server.bind_to_port(host, port))
        bound = -1;
    if (bound < 0)
        throw Error("kernel.102", "cannot bind " + address);
    if (listen(*descriptor, ListenBacklog) != 0)
        throw Error("kernel.102", "cannot listen on " + address);
    return bound;
}

void waitUntilRunning(const httplib::Server &server)
{
    while (!server.is_running())
        std::this_thread::sleep_for(RunningPollInterval);
}

} // namespace almondmill
