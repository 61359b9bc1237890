#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace almondmill::standin {

/// A plain service that counts how often each operation ran. The operation is the `operation`
/// member of a JSON body. `GET /counts` tells all counts; `POST /switch` sets a fault.
class ServiceServer
{
public:
    explicit ServiceServer(const std::string &address);
    ~ServiceServer();

    int port() const { return m_port; }

private:
    /// What goes wrong with the next calls.
    struct Fault
    {
        std::string mode = "none"; ///< "none", "reset-before-answer", "reset-half-way" or "delay".
        unsigned delayMs = 0;
        unsigned times = 0;
    };

    void addRoutes();
    void run(const httplib::Request &request, httplib::Response &response);
    Fault takeFault();

    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_counts;
    Fault m_fault;
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill::standin
