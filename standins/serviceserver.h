#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

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
        /// "none", "reset-before-answer", "reset-half-way", "delay", or "swap": two calls get each
        /// other's answer.
        std::string mode = "none";
        unsigned delayMs = 0;
        unsigned times = 0;
    };

    /// One answer, ready to be written.
    struct Answer
    {
        std::string attemptId;
        std::string body;
    };

    void addRoutes();
    Answer swapped(const Answer &answer);
    void run(const httplib::Request &request, httplib::Response &response);
    Fault takeFault();

    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_counts;
    Fault m_fault;
    std::condition_variable m_swap;
    std::vector<Answer> m_toSwap; ///< Answers that wait for another to be swapped with.
    unsigned m_swaps = 0;         ///< Pairs swapped.
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill::standin
