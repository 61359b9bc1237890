#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

/// An endpoint below HTTP: reads each call and does with its connection what the test says, such as
/// closing it at once. Counts the calls; probes of its status are answered with 404 and not
/// counted.
class RawEndpoint
{
public:
    /// Called with each call's socket, its bytes and the number of calls before it; the socket is
    /// closed after it.
    using Behaviour = std::function<void(int socket, const std::string &call, unsigned before)>;

    explicit RawEndpoint(Behaviour behaviour);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    const std::string &address() const { return m_address; }
    unsigned calls() const { return m_calls; }

    /// False when the other side closed.
    static bool write(int socket, const std::string &bytes);

    /// Lets the socket's close send a reset.
    static void resetOnClose(int socket);

    /// Blocks until the other side closes.
    static void waitForClose(int socket);

private:
    /// Reads until the blank line after the head and a body of `Content-Length` came, or the
    /// connection ends.
    static std::string readCall(int socket);

    void accept();
    void serve(int socket);

    Behaviour m_behaviour;
    std::string m_address;
    int m_listener = -1;
    std::atomic<unsigned> m_calls{0};
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace almondmill::test
