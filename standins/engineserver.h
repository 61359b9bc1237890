#pragma once

#include "engineoptions.h"
#include "generation.h"
#include "prefixcache.h"
#include "weightsloader.h"

#include <atomic>
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

/// A small engine over HTTP: bounded prefix cache, prefill cost, server-sent event stream, resume
/// and cancel by attempt id, status, and switches for faults. See docs/design/standins.md.
class EngineServer
{
public:
    explicit EngineServer(EngineOptions options);
    ~EngineServer();

    int port() const { return m_port; }
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    /// What goes wrong in streams; set with `POST /switch`.
    struct StreamFault
    {
        std::string mode = "none";     ///< "none", "cut", "stall", "silent" or "crossed".
        std::uint32_t afterEvents = 0; ///< Events sent before the fault.
        std::uint32_t times = 0;       ///< Streams it still befalls.
    };

    using GenerationPointer = std::shared_ptr<Generation>;

    void addRoutes();
    void complete(const httplib::Request &request, httplib::Response &response);
    void resume(const httplib::Request &request, httplib::Response &response);
    void cancelStream(const httplib::Request &request, httplib::Response &response);
    void status(httplib::Response &response);
    void takeOrder(const httplib::Request &request, httplib::Response &response);
    GenerationPointer startGeneration(const httplib::Request &request, const std::string &prompt,
                                      std::uint32_t tokens);
    void setHeaders(const Generation &generation, httplib::Response &response);
    void sendStream(const GenerationPointer &generation, std::uint32_t firstEvent,
                    httplib::Response &response);
    StreamFault takeFault();

    EngineOptions m_options;
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    PrefixCache m_cache;
    WeightsLoader m_weights;
    std::map<std::string, GenerationPointer> m_generations;
    StreamFault m_fault;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint32_t> m_open{0};
    std::atomic<std::uint64_t> m_started{0};
    std::atomic<std::uint64_t> m_cancelled{0};
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill::standin
