#pragma once

#include <functional>
#include <string>
#include <thread>

#include <netinet/in.h>

namespace review {

class Channel;

/// The socket address of "IP:port".
sockaddr_in socketAddress(const std::string &address);

/// Accepts connections at an address and handles each in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Channel &)>;

    /// Throws std::runtime_error when the address can't be bound.
    Listener(const std::string &address, Handler handler);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Accepts no more. Handlers that run go on; they end with their connections.
    ~Listener();

    /// Whether the address can be bound now.
    static bool isFree(const std::string &address);

private:
    void accept();

    int m_descriptor = -1;
    Handler m_handler;
    std::thread m_thread;
};

} // namespace review
