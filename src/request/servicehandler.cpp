#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/placement/placer.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/requestcontext.h"
#include "almondmill/request/requesthandler.h"

#include <httplib.h>

namespace almondmill {

namespace {

/// Collects a whole answer in memory.
class WholeAnswer : public AttemptObserver
{
public:
    explicit WholeAnswer(std::string attemptId)
        : m_attemptId(std::move(attemptId))
    {}

    const AttemptHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }

    bool onHead(const AttemptHead &head) override
    {
        m_head = head;
        return head.attemptId == m_attemptId;
    }

    bool onBytes(std::string_view bytes) override
    {
        m_body.append(bytes);
        return true;
    }

private:
    std::string m_attemptId;
    AttemptHead m_head;
    std::string m_body;
};

/// Serves plain services by path.
class ServiceHandler : public RequestHandler
{
public:
    explicit ServiceHandler(Node &node)
        : m_node(node)
    {}

    void handle(std::shared_ptr<const RequestContext> context,
                httplib::Response &response) override;

private:
    Node &m_node;
};

void ServiceHandler::handle(std::shared_ptr<const RequestContext> context,
                            httplib::Response &response)
{
    const Service *service = context->endpoints->configuration().serviceForPath(context->path);
    if (!service)
        throw RefusedError({404, "unknown_path", "Nothing is served at that path.", Ran::No});
    const auto endpoint = m_node.placer->choose({}, context->endpoints->forService(service->name),
                                                {}, std::chrono::steady_clock::now());
    if (!endpoint)
        throw RefusedError({503, "no_endpoint", "No endpoint can take the request now.", Ran::No});
    AttemptRequest attemptRequest;
    attemptRequest.address = endpoint->endpoint().address;
    attemptRequest.method = context->method;
    attemptRequest.path = context->path;
    attemptRequest.body = context->body;
    attemptRequest.contentType = context->contentType;
    attemptRequest.attemptId = randomId();
    attemptRequest.connectTimeout = m_node.settings.connectTimeout;
    attemptRequest.readTimeout = m_node.settings.firstByteTimeout;
    WholeAnswer answer(attemptRequest.attemptId);
    Attempt attempt;
    const AttemptResult result = attempt.run(attemptRequest, answer);
    if (std::holds_alternative<AttemptNotSent>(result))
        throw RefusedError({503, "not_sent", "The endpoint could not be reached.", Ran::No});
    if (!std::holds_alternative<AttemptCompleted>(result))
        throw RefusedError({502, "no_answer", "The endpoint gave no whole answer.", Ran::Unknown});
    response.status = answer.head().status;
    response.set_header(ServedByHeader, endpoint->endpoint().name);
    response.set_content(answer.body(), answer.head().contentType);
}

const RequestHandlerRegistry::Registrar ServiceRegistrar("service", [](Node &node) {
    return std::make_unique<ServiceHandler>(node);
});

} // namespace

} // namespace almondmill
