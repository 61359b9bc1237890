#include "endpoint.h"

#include "channel.h"
#include "metadatastore.h"
#include "record.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

using std::chrono::milliseconds;

/// The platform's interval between two heartbeats of an endpoint.
constexpr milliseconds HeartbeatInterval{1200};
constexpr milliseconds HeartbeatStep{100};
constexpr milliseconds IoTimeout{20000};

milliseconds unixTime()
{
    return std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

Channel::Time inTime()
{
    return std::chrono::steady_clock::now() + IoTimeout;
}

std::string headOf(const std::string &status, const std::string &requestId)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n";
}

std::string chunkOf(const std::string &text)
{
    std::string size(16, '\0');
    size.resize(
            static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx", text.size())));
    return size + "\r\n" + text + "\r\n";
}

/// The number of output tokens that "PROMPT,OUTPUT" asks for.
int eventsAskedFor(const std::string &usage)
{
    const auto comma = usage.find(',');
    return comma == std::string::npos ? 1 : std::atoi(usage.c_str() + comma + 1);
}

} // namespace

Endpoint::Endpoint(EndpointPlan plan, MetadataStore &store, Record &record)
    : m_plan(std::move(plan))
    , m_store(store)
    , m_record(record)
    , m_born(unixTime())
{
    listen();
    m_heartbeats = std::thread([this] { keepRegistered(); });
}

Endpoint::~Endpoint()
{
    m_stopping = true;
    m_heartbeats.join();
}

std::vector<Endpoint::Run> Endpoint::runs() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::vector<std::chrono::steady_clock::time_point> Endpoint::crashes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_crashes;
}

void Endpoint::listen()
{
    m_listener = std::make_unique<Listener>(m_plan.address,
                                            [this](Channel &channel) { serve(channel); });
}

void Endpoint::serve(Channel &channel)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_channels.insert(&channel);
    }
    for (;;) {
        const auto request = channel.readMessage(inTime());
        if (!request || !handle(*request, channel))
            break;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_channels.erase(&channel);
}

void Endpoint::crash()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_isDown)
        return;
    m_isDown = true;
    m_crashes.push_back(std::chrono::steady_clock::now());
    for (Channel *channel : m_channels)
        channel->shutdown();
    lock.unlock();
    m_listener.reset();
    m_record.write("endpoint " + id() + " crashes");
    std::thread([this] { restart(); }).detach();
}

void Endpoint::restart()
{
    std::this_thread::sleep_for(m_plan.restartTime);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_store.remove("servers", id());
    ++m_lifetime;
    m_born = unixTime();
    listen();
    m_isDown = false;
}

std::string Endpoint::id() const
{
    return m_plan.id + "-" + std::to_string(m_lifetime);
}

bool Endpoint::handle(const HttpMessage &request, Channel &channel)
{
    const std::string requestId = request.field("Request-Id");
    const std::string expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != id())
        return channel.send(headOf("421 Misdirected Request", requestId)
                                    + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                            inTime());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.push_back({requestId, request.word(0), request.word(1), request.body,
                          request.field("Prompt-Prefix"), std::chrono::steady_clock::now()});
    }
    m_record.write("endpoint " + id() + " runs " + requestId + ": " + request.word(0) + " "
                   + request.word(1) + ", body of " + std::to_string(request.body.size())
                   + " bytes");
    std::this_thread::sleep_for(m_plan.work);
    if (!m_plan.model.empty())
        return sendStream(request, channel);
    const std::string body = "done " + requestId + "\n";
    return channel.send(headOf("200 OK", requestId) + "Server-Signature: " + id() + "." + requestId
                                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                + body,
                        inTime());
}

bool Endpoint::sendStream(const HttpMessage &request, Channel &channel)
{
    const std::string requestId = request.field("Request-Id");
    const bool crashes =
            !m_plan.crashingPart.empty()
            && request.field("Prompt-Prefix").find(m_plan.crashingPart + ":") != std::string::npos;
    if (crashes && m_plan.crashesEarly) {
        crash();
        return false;
    }
    const bool isSent =
            channel.send(headOf("200 OK", requestId) + "Server-Signature: " + id() + "." + requestId
                                 + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n",
                         inTime());
    if (!isSent)
        return false;
    const int last = eventsAskedFor(request.field("Token-Usage"));
    for (int event = std::atoi(request.field("Last-Event-Id").c_str()) + 1; event <= last;
         ++event) {
        if (m_stopping || channel.isClosedByPeer())
            return false;
        const std::string number = std::to_string(event);
        std::string text = "id: ";
        text.append(number).append("\ndata: piece ").append(number).append("\n\n");
        if (!channel.send(chunkOf(text), inTime()))
            return false;
        if (crashes) {
            crash();
            return false;
        }
        std::this_thread::sleep_for(m_plan.eventGap);
    }
    return channel.send("0\r\n\r\n", inTime());
}

void Endpoint::keepRegistered()
{
    using Json = nlohmann::json;
    Json models = Json::array();
    if (!m_plan.model.empty())
        models.push_back({{"name", m_plan.model}, {"version", 1}, {"adapters", Json::array()}});
    for (int sequence = 1; !m_stopping; ++sequence) {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!m_isDown)
            m_store.put("servers", id(),
                        {{"service", m_plan.service},
                         {"address", m_plan.address},
                         {"zone", "zone-a"},
                         {"version", "1.4.2"},
                         {"slots", m_plan.slots},
                         {"state", "ready"},
                         {"cold_remaining_ms", 0},
                         {"sequence", sequence},
                         {"born", m_born.count()},
                         {"stage", "colocated"},
                         {"models", models}});
        lock.unlock();
        const auto until = std::chrono::steady_clock::now() + HeartbeatInterval;
        while (!m_stopping && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(HeartbeatStep);
    }
}

} // namespace review
