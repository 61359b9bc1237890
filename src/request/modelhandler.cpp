#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/node.h"
#include "almondmill/request/modelrequest.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/requestcontext.h"
#include "almondmill/request/requesthandler.h"
#include "almondmill/request/streamrelay.h"

#include <httplib.h>

namespace almondmill {

namespace {

/// Serves completions: streamed ones event by event, plain ones whole.
class ModelHandler : public RequestHandler
{
public:
    explicit ModelHandler(Node &node)
        : m_node(node)
    {}

    void handle(std::shared_ptr<const RequestContext> context,
                httplib::Response &response) override;

private:
    void fillHead(const RelayStart &start, httplib::Response &response) const;

    Node &m_node;
};

std::string readWhole(StreamRelay &relay)
{
    std::string body;
    while (const auto bytes = relay.nextBytes())
        body += *bytes;
    return body;
}

bool writeNext(StreamRelay &relay, httplib::DataSink &sink)
{
    const auto bytes = relay.nextBytes();
    if (!bytes) {
        sink.done();
        return true;
    }
    return sink.write(bytes->data(), bytes->size());
}

void ModelHandler::handle(std::shared_ptr<const RequestContext> context,
                          httplib::Response &response)
{
    ModelRequest request = parseModelRequest(context->body);
    if (!context->endpoints->configuration().model(request.model))
        throw RefusedError({404, "unknown_model", "There is no model of that name.", Ran::No});
    auto relay = std::make_shared<StreamRelay>(m_node, std::move(context), std::move(request));
    relay->start();
    const auto started = relay->waitForStart();
    if (const auto *refusal = std::get_if<Refusal>(&started))
        throw RefusedError(*refusal);
    const auto &start = std::get<RelayStart>(started);
    fillHead(start, response);
    if (!start.head.contentType.starts_with("text/event-stream")) {
        response.set_content(readWhole(*relay), start.head.contentType);
        return;
    }
    response.set_chunked_content_provider(
            start.head.contentType,
            [relay](std::size_t, httplib::DataSink &sink) { return writeNext(*relay, sink); },
            [relay](bool) { relay->cancel(); });
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
