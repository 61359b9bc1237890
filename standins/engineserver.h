#pragma once

#include "engineoptions.h"
#include "generation.h"
#include "prefixcache.h"
#include "streamfault.h"
#include "weightsloader.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace httplib {
class Server;
class DataSink;
struct Request;
struct Response;
} // namespace httplib

namespace almondmill::standin {

/// Engine simulator over HTTP: bounded prefix cache, prefill cost, server-sent event streams,
/// resume and cancellation by attempt id, status and fault injection. See docs/design/standins.md.
class EngineServer
{
public:
    explicit EngineServer(EngineOptions options);
    ~EngineServer();

    int port() const { return m_port; }
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Number of completions whose computation was started.
    std::uint64_t started() const { return m_started; }

    /// Number of computations cancelled by request.
    std::uint64_t cancelled() const { return m_cancelled; }

    /// Sets the fault that applies to the next streams; replaces the previous one.
    void setFault(const StreamFault &fault);

private:
    using GenerationPointer = std::shared_ptr<Generation>;

    /// Progress of one connection that streams a generation.
    struct StreamState;

    void addRoutes();
    void complete(const httplib::Request &request, httplib::Response &response);
    void resume(const httplib::Request &request, httplib::Response &response);
    void cancelStream(const httplib::Request &request, httplib::Response &response);
    void status(httplib::Response &response);
    void handleOrder(const httplib::Request &request, httplib::Response &response);
    GenerationPointer startGeneration(const httplib::Request &request, const std::string &prompt,
                                      std::uint32_t tokens);
    void setHeaders(const Generation &generation, httplib::Response &response);
    void sendStream(const GenerationPointer &generation, std::uint32_t firstEvent,
                    httplib::Response &response);
    void sendPlain(const GenerationPointer &generation, httplib::Response &response);
    bool sendNext(StreamState &state, httplib::DataSink &sink);
    bool waitForEvent(const StreamState &state, const httplib::DataSink &sink) const;

    /// Blocks until the server stops, `connected` returns false or MaxStallDuration has passed.
    void waitWhileConnected(const std::function<bool()> &connected) const;

    /// Returns the fault for one stream and decrements the number of streams that it still affects.
    StreamFault consumeFault();

    EngineOptions m_options;
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    PrefixCache m_cache;
    WeightsLoader m_weights;
    std::map<std::string, GenerationPointer> m_generations;
    StreamFault m_fault;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint64_t> m_started{0};
    std::atomic<std::uint64_t> m_cancelled{0};
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill::standin
