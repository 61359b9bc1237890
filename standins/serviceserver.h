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

/// Plain service that counts how often each operation was executed. The operation is the
/// `operation` member of the JSON body. `GET /counts` returns all counts; `POST /switch` sets a
/// fault.
class ServiceServer
{
public:
    explicit ServiceServer(const std::string &address);
    ~ServiceServer();

    int port() const { return m_port; }

private:
    /// Fault that applies to the next calls.
    struct Fault
    {
        /// "none", "reset-before-answer", "reset-half-way", "delay" or "swap"; with "swap" two
        /// concurrent calls receive each other's answer.
        std::string mode = "none";
        unsigned delayMs = 0;
        unsigned times = 0; ///< Number of calls that it still affects.
    };

    /// Answer before it is written to the connection.
    struct Answer
    {
        std::string attemptId;
        std::string body;
    };

    void addRoutes();

    /// Waits up to SwapTimeout for another call and returns that call's answer; returns `answer`
    /// itself if there is none.
    Answer swapAnswers(const Answer &answer);
    void run(const httplib::Request &request, httplib::Response &response);
    Fault consumeFault();

    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_counts;
    Fault m_fault;
    std::condition_variable m_pairSwapped;
    std::vector<Answer> m_swapPair; ///< Answers of the pair that is being swapped.
    unsigned m_swapCount = 0;       ///< Number of pairs swapped so far.
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill::standin
