#include "almondmill/claims/atmostonceexecutor.h"
#include "almondmill/claims/claimcodec.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/node.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/requestcontext.h"
#include "almondmill/request/requesthandler.h"
#include "almondmill/request/servicecaller.h"
#include "almondmill/request/serviceretrysafety.h"

#include <httplib.h>

namespace almondmill {

namespace {

constexpr const char *ReplayedHeader = "Idempotent-Replayed";

/// Returns the endpoint's answer. Throws RefusedError when there is none.
StoredAnswer answerOrRefuse(SendOutcome outcome)
{
    if (const auto *never = std::get_if<NeverSent>(&outcome))
        throw RefusedError({503, "not_sent", never->reason, Executed::No});
    if (const auto *mayHaveRun = std::get_if<MayHaveRun>(&outcome))
        throw RefusedError({502, "no_answer", mayHaveRun->reason, Executed::Unknown});
    return std::get<StoredAnswer>(std::move(outcome));
}

void fill(const AtMostOnceAnswer &result, httplib::Response &response)
{
    response.status = result.answer.status;
    for (const HttpHeader &header : result.answer.headers)
        response.headers.emplace(header.name, header.value);
    response.set_header(ServedByHeader, result.answer.endpoint);
    if (result.replayed)
        response.set_header(ReplayedHeader, "true");
    response.set_content(result.answer.body, result.answer.contentType);
}

/// Serves requests to plain services, which are selected by path.
class ServiceHandler : public RequestHandler
{
public:
    explicit ServiceHandler(Node &node)
        : m_node(node)
        , m_caller(node)
    {}

    void handle(std::shared_ptr<const RequestContext> context,
                httplib::Response &response) override;

private:
    AtMostOnceAnswer run(const RequestContext &context, const Service &service);
    AtMostOnceAnswer runClaimed(const RequestContext &context, const Service &service);

    Node &m_node;
    ServiceCaller m_caller;
};

void ServiceHandler::handle(std::shared_ptr<const RequestContext> context,
                            httplib::Response &response)
{
    const Service *service = context->endpoints->configuration().serviceForPath(context->path);
    if (!service)
        throw RefusedError({404, "unknown_path", "Nothing is served at that path.", Executed::No});
    fill(run(*context, *service), response);
}

AtMostOnceAnswer ServiceHandler::run(const RequestContext &context, const Service &service)
{
    switch (serviceRetrySafety(service, context.method, context.path)) {
    case ServiceRetrySafety::AtMostOnce:
        if (!context.idempotencyKey.empty())
            return runClaimed(context, service);
        return {answerOrRefuse(m_caller.sendOnce(context, service.name)), false};
    case ServiceRetrySafety::NonIdempotent:
        return {answerOrRefuse(m_caller.sendOnce(context, service.name)), false};
    case ServiceRetrySafety::Repeatable:
        break;
    }
    return {answerOrRefuse(m_caller.sendRepeatable(context, service.name)), false};
}

AtMostOnceAnswer ServiceHandler::runClaimed(const RequestContext &context, const Service &service)
{
    AtMostOnceCall call;
    call.clientAccount = context.account->name;
    call.key = context.idempotencyKey;
    call.fingerprint = callFingerprint(context.method, context.target, context.body);
    call.sendBy = context.arrived + m_node.settings.requestTimeout;
    return m_node.atMostOnce->run(call, std::chrono::system_clock::now(),
                                  [&] { return m_caller.sendOnce(context, service.name); });
}

const RequestHandlerRegistry::Registrar ServiceRegistrar("service", [](Node &node) {
    return std::make_unique<ServiceHandler>(node);
});

} // namespace

} // namespace almondmill
