#include "engineserver.h"

#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/httplisten.h"
#include "almondmill/kernel/ondemandthreadpool.h"
#include "almondmill/kernel/randomid.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t WorkerThreads = 1200;
constexpr std::size_t MaxGenerations = 4000;
constexpr std::uint32_t BytesPerToken = 4;
constexpr std::chrono::milliseconds PollInterval{20};

/// Interval at which a stream that waits for its next event checks the connection.
constexpr std::chrono::milliseconds ConnectionCheckInterval{500};

constexpr std::chrono::seconds MaxStallDuration{60};

std::string promptOf(const Json &json)
{
    if (json.contains("prompt"))
        return json["prompt"];
    std::string prompt;
    for (const Json &message : json.at("messages"))
        prompt += message.dump();
    return prompt;
}

void replaceAttemptId(httplib::Response &response)
{
    response.headers.erase(AttemptIdHeader);
    response.set_header(AttemptIdHeader, randomId());
}

} // namespace

struct EngineServer::StreamState
{
    GenerationPointer generation;
    StreamFault fault;
    std::uint32_t next = 0; ///< Index of the next event to send.
    bool isRepeat = false;  ///< Whether the answer is being sent a second time.
    bool writeSucceeded = true;

    bool isFaulty() const
    {
        return fault.mode != StreamFaultMode::None && next >= fault.afterEvents;
    }
    void write(std::uint32_t event, httplib::DataSink &sink)
    {
        const std::string text = generation->event(event);
        writeSucceeded = writeSucceeded && sink.write(text.data(), text.size());
    }
};

EngineServer::EngineServer(EngineOptions options)
    : m_options(std::move(options))
    , m_incarnation(randomIncarnation())
    , m_cache(m_options.cacheBlocks, m_options.blockBytes, m_options.cacheIdleTimeout)
    , m_weights(m_options.weights, m_options.loadTime, m_options.checksFencing)
    , m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] { return new OnDemandThreadPool(WorkerThreads); };
    m_server->set_keep_alive_max_count(1);
    m_server->set_tcp_nodelay(true);
    addRoutes();
    m_port = bindWithBacklog(*m_server, m_options.listen);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    waitUntilRunning(*m_server);
}

EngineServer::~EngineServer()
{
    m_stopping = true;
    m_server->stop();
    m_thread.join();
}

void EngineServer::addRoutes()
{
    const auto completion = [this](const httplib::Request &request, httplib::Response &response) {
        complete(request, response);
    };
    m_server->Post("/v1/completions", completion);
    m_server->Post("/v1/chat/completions", completion);
    m_server->Get(R"(/v1/streams/(\w+))",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      resume(request, response);
                  });
    m_server->Delete(R"(/v1/streams/(\w+))",
                     [this](const httplib::Request &request, httplib::Response &response) {
                         cancelStream(request, response);
                     });
    m_server->Get("/v1/status", [this](const httplib::Request &, httplib::Response &response) {
        status(response);
    });
    m_server->Post("/v1/orders",
                   [this](const httplib::Request &request, httplib::Response &response) {
                       handleOrder(request, response);
                   });
    m_server->Post("/switch", [this](const httplib::Request &request, httplib::Response &) {
        const Json json = Json::parse(request.body);
        StreamFault fault;
        fault.mode = parseStreamFaultMode(json.value("mode", "none"));
        fault.afterEvents = json.value("after_events", 0U);
        fault.times = json.value("times", 1U);
        fault.refuseResume = json.value("refuse_resume", false);
        setFault(fault);
        m_leaving = json.value("leaving", m_leaving.load());
    });
}

void EngineServer::complete(const httplib::Request &request, httplib::Response &response)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded()) {
        response.status = 400;
        response.set_header(AttemptIdHeader, request.get_header_value(AttemptIdHeader));
        return;
    }
    const auto generation = startGeneration(request, promptOf(json),
                                            json.value("max_tokens", m_options.defaultTokens));
    setHeaders(*generation, response);
    if (json.value("stream", false))
        sendStream(generation, 0, response);
    else
        sendPlain(generation, response);
}

void EngineServer::sendPlain(const GenerationPointer &generation, httplib::Response &response)
{
    const StreamFault fault = consumeFault();
    if (fault.mode == StreamFaultMode::Silent)
        waitWhileConnected([] { return true; });
    const auto ready = generation->readyAt(generation->tokens);
    while (std::chrono::steady_clock::now() < ready && !generation->cancelled && !m_stopping)
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(
                PollInterval, ready - std::chrono::steady_clock::now()));
    const Json choice{{"index", 0}, {"text", generation->text()}};
    response.set_content(Json{{"choices", Json::array({choice})}}.dump(), "application/json");
    if (fault.mode == StreamFaultMode::Crossed)
        replaceAttemptId(response);
    --m_inFlight;
}

EngineServer::GenerationPointer EngineServer::startGeneration(const httplib::Request &request,
                                                              const std::string &prompt,
                                                              std::uint32_t tokens)
{
    const auto now = std::chrono::steady_clock::now();
    auto generation = std::make_shared<Generation>();
    generation->attemptId = request.get_header_value(AttemptIdHeader);
    generation->seed = hash64(prompt);
    generation->tokens = tokens;
    generation->tokenGap = m_options.tokenGap;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::uint32_t cached = m_cache.touch(prompt, now);
    const auto blocks = static_cast<std::uint32_t>(prompt.size() / m_options.blockBytes);
    generation->cachedTokens = cached * m_options.blockBytes / BytesPerToken;
    generation->firstTokenAt = now + m_options.prefillPerBlock * (blocks - cached + 1);
    if (m_generations.size() >= MaxGenerations)
        m_generations.erase(m_generations.begin());
    m_generations[generation->attemptId] = generation;
    ++m_started;
    ++m_inFlight;
    return generation;
}

void EngineServer::setHeaders(const Generation &generation, httplib::Response &response)
{
    response.set_header(AttemptIdHeader, generation.attemptId);
    response.set_header(IncarnationHeader, std::to_string(m_incarnation));
    response.set_header(WeightsHeader, m_weights.weights(std::chrono::steady_clock::now()));
    response.set_header(LoadHeader, std::to_string(m_inFlight.load()));
    response.set_header(CachedTokensHeader, std::to_string(generation.cachedTokens));
}

void EngineServer::sendStream(const GenerationPointer &generation, std::uint32_t firstEvent,
                              httplib::Response &response)
{
    auto state = std::make_shared<StreamState>(StreamState{generation, consumeFault(), firstEvent});
    if (state->fault.mode == StreamFaultMode::Silent)
        waitWhileConnected([] { return true; });
    if (state->fault.mode == StreamFaultMode::Crossed) {
        state->generation = std::make_shared<Generation>();
        state->generation->tokens = generation->tokens;
        replaceAttemptId(response);
    }
    response.set_chunked_content_provider(
            "text/event-stream",
            [this, state](std::size_t, httplib::DataSink &sink) { return sendNext(*state, sink); },
            [this](bool) { --m_inFlight; });
}

bool EngineServer::sendNext(StreamState &state, httplib::DataSink &sink)
{
    if (state.isFaulty() && state.fault.mode == StreamFaultMode::Cut)
        return false;
    if (state.isFaulty() && state.fault.mode == StreamFaultMode::Stall) {
        waitWhileConnected([&sink] { return sink.is_writable(); });
        return false;
    }
    if (state.isFaulty() && state.fault.mode == StreamFaultMode::Other) {
        state.generation = std::make_shared<Generation>(*state.generation);
        ++state.generation->seed;
        state.fault.mode = StreamFaultMode::None;
    }
    if (!waitForEvent(state, sink))
        return false;
    const bool last = state.next == state.generation->tokens;
    if (state.isFaulty() && state.fault.mode == StreamFaultMode::Reorder && !last) {
        state.write(state.next + 1, sink);
        state.fault.mode = StreamFaultMode::None;
    }
    if (state.isFaulty() && state.fault.mode == StreamFaultMode::Skip && !last) {
        ++state.next;
        state.fault.mode = StreamFaultMode::None;
        return true;
    }
    state.write(state.next, sink);
    if (state.isFaulty() && state.fault.mode == StreamFaultMode::Duplicate)
        state.write(state.next, sink);
    ++state.next;
    if (!last)
        return state.writeSucceeded;
    if (state.fault.mode == StreamFaultMode::Twice && !state.isRepeat) {
        state.isRepeat = true;
        state.next = 0;
        return state.writeSucceeded;
    }
    if (state.writeSucceeded)
        sink.done();
    return state.writeSucceeded;
}

/// Waits until the next event is computed. Returns false if the caller has disconnected, the
/// generation was cancelled or the server stops.
bool EngineServer::waitForEvent(const StreamState &state, const httplib::DataSink &sink) const
{
    const auto ready = state.generation->readyAt(state.next);
    auto now = std::chrono::steady_clock::now();
    while (now < ready && !state.generation->cancelled && !m_stopping) {
        std::this_thread::sleep_until(std::min(ready, now + ConnectionCheckInterval));
        now = std::chrono::steady_clock::now();
        if (now < ready && !sink.is_writable())
            return false;
    }
    return !state.generation->cancelled && !m_stopping;
}

void EngineServer::waitWhileConnected(const std::function<bool()> &connected) const
{
    const auto until = std::chrono::steady_clock::now() + MaxStallDuration;
    while (!m_stopping && connected() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(PollInterval);
}

void EngineServer::resume(const httplib::Request &request, httplib::Response &response)
{
    GenerationPointer generation;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_generations.find(request.matches[1]);
        if (found == m_generations.end() || found->second->cancelled || m_fault.refuseResume) {
            response.status = 404;
            return;
        }
        generation = found->second;
    }
    const auto last = std::strtoul(request.get_header_value("Last-Event-ID").c_str(), nullptr, 10);
    setHeaders(*generation, response);
    ++m_inFlight;
    sendStream(generation, static_cast<std::uint32_t>(last), response);
}

void EngineServer::cancelStream(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_generations.find(request.matches[1]);
    if (found == m_generations.end()) {
        response.status = 404;
        return;
    }
    if (!found->second->cancelled.exchange(true))
        ++m_cancelled;
}

void EngineServer::status(httplib::Response &response)
{
    const auto now = std::chrono::steady_clock::now();
    const bool loading = m_weights.loading(now);
    const Json json{{"incarnation", m_incarnation},      {"model", m_options.model},
                    {"weights", m_weights.weights(now)}, {"in_flight", m_inFlight.load()},
                    {"leaving", m_leaving || loading},   {"loading", loading},
                    {"started", m_started.load()},       {"cancelled", m_cancelled.load()}};
    response.set_content(json.dump(), "application/json");
}

void EngineServer::handleOrder(const httplib::Request &request, httplib::Response &response)
{
    const Json json = Json::parse(request.body);
    if (!m_weights.order(json.at("weights"), json.at("fencing"), std::chrono::steady_clock::now()))
        response.status = 409;
    response.set_content(Json{{"fencing", m_weights.fencing()}}.dump(), "application/json");
}

void EngineServer::setFault(const StreamFault &fault)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = fault;
}

StreamFault EngineServer::consumeFault()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fault.times == 0)
        return {};
    --m_fault.times;
    return m_fault;
}

} // namespace almondmill::standin
