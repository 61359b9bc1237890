#include "almondmill/request/streamrelay.h"

#include "almondmill/config/clientaccount.h"
#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/placement/placer.h"
#include "almondmill/placement/prefixkeys.h"
#include "almondmill/request/eventsplitter.h"
#include "almondmill/request/requestcontext.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

constexpr std::size_t ChannelBytes = 64U << 10U;
constexpr std::size_t BytesPerToken = 4;

AttemptRequest makeAttemptRequest(const Node &node, const RequestContext &context,
                                  const EndpointState &endpoint)
{
    AttemptRequest attempt;
    attempt.address = endpoint.endpoint().address;
    attempt.method = context.method;
    attempt.path = context.path;
    attempt.body = context.body;
    attempt.contentType = "application/json";
    attempt.attemptId = randomId();
    attempt.headers.push_back(
            {PriorityHeader, context.priority == Priority::High ? "high" : "low"});
    attempt.connectTimeout = node.settings.connectTimeout;
    attempt.readTimeout = node.settings.firstByteTimeout;
    return attempt;
}

} // namespace

/// Takes one endpoint's answer: learns from its head, passes whole events on.
class StreamRelay::Observer : public AttemptObserver
{
public:
    Observer(StreamRelay &relay, EndpointState &endpoint, std::string attemptId)
        : m_relay(relay)
        , m_endpoint(endpoint)
        , m_attemptId(std::move(attemptId))
    {}

    bool complete() const { return m_complete; }
    bool relayed() const { return m_relayed; }

    bool onHead(const AttemptHead &head) override
    {
        if (head.attemptId != m_attemptId) {
            m_relay.m_node.metrics.counter("almondmill_crossed_answers_total").add();
            return false;
        }
        learn(head);
        if (head.status >= 500)
            return false;
        m_isEventStream = head.contentType.starts_with("text/event-stream");
        m_relayed = true;
        m_relay.publishStart(RelayStart{head, m_endpoint.endpoint().name});
        return true;
    }

    bool onBytes(std::string_view bytes) override
    {
        if (!m_isEventStream)
            return m_relay.m_channel.push(std::string(bytes));
        for (std::string &event : m_splitter.feed(bytes)) {
            m_complete = m_complete || isEndOfStream(event);
            if (!m_relay.m_channel.push(std::move(event)))
                return false;
        }
        return true;
    }

    void finish() { m_complete = m_complete || !m_isEventStream; }

private:
    void learn(const AttemptHead &head)
    {
        m_endpoint.setIncarnation(head.incarnation);
        m_endpoint.setWeightsHash(head.weightsHash);
        if (head.hasLoad)
            m_endpoint.setReportedLoad(head.load);
        const PlacementOutcome outcome{
                m_endpoint.nameHash(), head.incarnation, head.cachedTokens,
                static_cast<std::uint32_t>(m_relay.m_request.prompt.size() / BytesPerToken)};
        m_relay.m_node.placer->observe(m_relay.m_placement, outcome,
                                       std::chrono::steady_clock::now());
    }

    StreamRelay &m_relay;
    EndpointState &m_endpoint;
    std::string m_attemptId;
    EventSplitter m_splitter;
    bool m_isEventStream = false;
    bool m_relayed = false;
    bool m_complete = false;
};

StreamRelay::StreamRelay(Node &node, std::shared_ptr<const RequestContext> context,
                         ModelRequest request)
    : m_node(node)
    , m_context(std::move(context))
    , m_request(std::move(request))
    , m_channel(ChannelBytes)
{
    const Model *model = m_context->endpoints->configuration().model(m_request.model);
    const PrefixScope scope{m_context->account->name, model->name, model->weights};
    m_placement.prefixKeys =
            prefixKeys(scope, m_request.prompt, model->blockTokens * BytesPerToken);
    m_placement.priority = m_context->priority;
    m_placement.dataCentre = m_node.settings.dataCentre;
}

StreamRelay::~StreamRelay()
{
    cancel();
    if (m_thread.joinable())
        m_thread.join();
}

void StreamRelay::start()
{
    m_thread = std::thread([this] { run(); });
}

std::variant<RelayStart, Refusal> StreamRelay::waitForStart()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_start.has_value(); });
    return *m_start;
}

void StreamRelay::cancel()
{
    m_channel.close();
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cancelled = true;
    if (m_attempt)
        m_attempt->cancel();
}

void StreamRelay::run()
{
    while (attemptOnce()) {
    }
    m_channel.finish();
}

bool StreamRelay::attemptOnce()
{
    const auto endpoint = choose();
    if (!endpoint) {
        publishStart(Refusal{503, "no_endpoint", "No endpoint can take the request now.", Ran::No});
        return false;
    }
    m_tried.insert(endpoint->endpoint().name);
    const AttemptRequest attemptRequest = makeAttemptRequest(m_node, *m_context, *endpoint);
    Attempt *attempt = nullptr;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_cancelled)
            return false;
        m_attempt = std::make_unique<Attempt>();
        attempt = m_attempt.get();
    }
    Observer observer(*this, *endpoint, attemptRequest.attemptId);
    endpoint->requestStarted();
    const AttemptResult result = attempt->run(attemptRequest, observer);
    endpoint->requestEnded();
    if (std::holds_alternative<AttemptCompleted>(result))
        observer.finish();
    if (observer.complete()) {
        endpoint->succeeded();
        return false;
    }
    if (std::holds_alternative<AttemptNotSent>(result)
        || std::holds_alternative<AttemptBroken>(result))
        endpoint->failed(std::chrono::steady_clock::now());
    if (observer.relayed()) {
        endWithError("the endpoint's stream ended early");
        return false;
    }
    return true;
}

EndpointSet::StatePointer StreamRelay::choose()
{
    const auto &states = m_context->endpoints->forModel(m_request.model);
    return m_node.placer->choose(m_placement, states, m_tried, std::chrono::steady_clock::now());
}

void StreamRelay::publishStart(std::variant<RelayStart, Refusal> start)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_start)
        m_start = std::move(start);
    m_changed.notify_all();
}

void StreamRelay::endWithError(const std::string &reason)
{
    const Refusal refusal{502, "stream_broken", reason, Ran::Unknown};
    m_channel.push("event: error\ndata: " + refusal.json() + "\n\n");
}

} // namespace almondmill
