#include "almondmill/admission/loadcontrol.h"
#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/cancelqueue.h"
#include "almondmill/endpoint/deadlinewatch.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/node.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/request/accountadmission.h"
#include "almondmill/request/modelrequest.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/relayenvironment.h"
#include "almondmill/request/relaymetrics.h"
#include "almondmill/request/requestcontext.h"
#include "almondmill/request/requesthandler.h"
#include "almondmill/request/streamrelay.h"

#include <httplib.h>

namespace almondmill {

namespace {

constexpr std::chrono::milliseconds CancelTimeout{1000};

LoadControl::Options loadOptions(const Settings &settings)
{
    LoadControl::Options options;
    options.queueCapacity = settings.queueRequests;
    options.queueWait = settings.queueWait;
    return options;
}

/// Serves completions. Streams are relayed event by event, other answers when they are complete.
class ModelHandler : public RequestHandler
{
public:
    explicit ModelHandler(Node &node)
        : m_metrics(node.metrics)
        , m_cancels(node.metrics, CancelTimeout)
        , m_load(loadOptions(node.settings), node.metrics)
        , m_environment{node,      m_watch, m_cancels,
                        m_metrics, m_load,  [] { return std::make_unique<Attempt>(); }}
    {}

    void handle(std::shared_ptr<const RequestContext> context,
                httplib::Response &response) override;

private:
    void fillHead(const RelayStart &start, httplib::Response &response) const;
    bool writeStream(StreamRelay &relay, const RequestContext &context,
                     httplib::DataSink &sink) const;

    RelayMetrics m_metrics;
    DeadlineWatch m_watch;
    CancelQueue m_cancels;
    LoadControl m_load;
    RelayEnvironment m_environment;
};

std::string readCompleteBody(StreamRelay &relay)
{
    std::string body;
    while (true) {
        auto item = relay.nextBytes(SteadyTime::max());
        auto *chunk = std::get_if<ChannelBytes>(&item);
        if (!chunk)
            return body;
        body += chunk->bytes;
    }
}

/// Writes the stream up to its end. False when the caller is gone.
bool ModelHandler::writeStream(StreamRelay &relay, const RequestContext &context,
                               httplib::DataSink &sink) const
{
    const EventChannel::Writer writer = [&](const ChannelBytes &chunk) {
        const bool written = sink.write(chunk.bytes.data(), chunk.bytes.size());
        m_metrics.addedDelay.add(std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now() - chunk.arrived));
        return written;
    };
    if (!relay.writeAll(writer, context.callerGone))
        return false;
    sink.done();
    return true;
}

void ModelHandler::handle(std::shared_ptr<const RequestContext> context,
                          httplib::Response &response)
{
    ModelRequest request = parseModelRequest(context->body);
    if (!context->endpoints->configuration().model(request.model))
        throw RefusedError({404, "unknown_model", "There is no model of that name.", Executed::No});
    auto grant = admitByAccount(m_environment.node, *context, request.prompt.size());
    auto relay = std::make_shared<StreamRelay>(m_environment, context, std::move(request));
    relay->start();
    const auto started = relay->waitForStart(context->callerGone);
    if (const auto *refusal = std::get_if<Refusal>(&started))
        throw RefusedError(*refusal);
    const auto &start = std::get<RelayStart>(started);
    fillHead(start, response);
    if (!start.head.contentType.starts_with("text/event-stream")) {
        response.set_content(readCompleteBody(*relay), start.head.contentType);
        return;
    }
    response.set_chunked_content_provider(
            start.head.contentType,
            [this, relay, context](std::size_t, httplib::DataSink &sink) {
                return writeStream(*relay, *context, sink);
            },
            [relay, grant = std::move(grant)](bool) { relay->cancel(); });
}

void ModelHandler::fillHead(const RelayStart &start, httplib::Response &response) const
{
    response.status = start.head.status;
    response.set_header(ServedByHeader, start.endpoint);
    response.set_header(CachedTokensHeader, std::to_string(start.head.cachedTokens));
}

const RequestHandlerRegistry::Registrar ModelRegistrar("model", [](Node &node) {
    return std::make_unique<ModelHandler>(node);
});

} // namespace

} // namespace almondmill
