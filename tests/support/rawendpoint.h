#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

/// An endpoint below HTTP: accepts connections and does with each what the test says, such as
/// closing it at once. Counts them.
class RawEndpoint
{
public:
    /// Called with each connection's socket and the number of connections before it; the socket is
    /// closed after it.
    using Behaviour = std::function<void(int socket, unsigned before)>;

    explicit RawEndpoint(Behaviour behaviour);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    const std::string &address() const { return m_address; }
    unsigned connections() const { return m_connections; }

    /// Reads until the blank line after a request's head and its body of `Content-Length` came, or
    /// the connection ends. Returns what was read.
    static std::string readRequest(int socket);

    /// False when the other side closed.
    static bool write(int socket, const std::string &bytes);

    /// Lets the socket's close send a reset.
    static void resetOnClose(int socket);

    /// Blocks until the other side closes.
    static void waitForClose(int socket);

private:
    void accept();

    Behaviour m_behaviour;
    std::string m_address;
    int m_listener = -1;
    std::atomic<unsigned> m_connections{0};
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace almondmill::test
