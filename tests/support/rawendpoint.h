#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

/// A TCP endpoint that reads each request and passes its connection to a function of the test,
/// which can, for example, reset it. Counts the requests, except for status probes, which it
/// answers with 404.
class RawEndpoint
{
public:
    /// Called with a request's socket, its bytes and the number of requests before it. The socket
    /// is closed afterwards.
    using Behaviour = std::function<void(int socket, const std::string &call, unsigned before)>;

    explicit RawEndpoint(Behaviour behaviour);

    /// Listens on the loopback address `host`, which may have been used before. Throws
    /// std::system_error if that fails.
    RawEndpoint(const std::string &host, Behaviour behaviour);

    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    const std::string &address() const { return m_address; }
    unsigned calls() const { return m_calls; }

    /// Ends like a process that is killed: all connections break and new ones are refused. May be
    /// called by the behaviour.
    void crash();

    /// Returns false if the peer has closed the connection.
    static bool write(int socket, const std::string &bytes);

    /// Reads a request's head and a body of `Content-Length` bytes, or less if the connection ends.
    static std::string readCall(int socket);

    /// Makes closing the socket send a TCP reset.
    static void resetOnClose(int socket);

    /// Sends a TCP reset now.
    static void reset(int socket);

    /// Blocks until bytes can be read, and leaves them unread.
    static void waitForBytes(int socket);

    /// Blocks until the peer closes the connection.
    static void waitForClose(int socket);

private:
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
