#include "almondmill/request/servicecaller.h"

#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/deadline.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/placement/placer.h"
#include "almondmill/request/bufferedresponse.h"
#include "almondmill/request/requestcontext.h"

namespace almondmill {

namespace {

constexpr int FirstServerError = 500;

/// Counts a request as open at an endpoint for the lifetime of this object.
class OpenAtEndpoint
{
public:
    explicit OpenAtEndpoint(EndpointState &endpoint)
        : m_endpoint(endpoint)
    {
        m_endpoint.requestStarted();
    }

    ~OpenAtEndpoint() { m_endpoint.requestEnded(); }
    OpenAtEndpoint(const OpenAtEndpoint &) = delete;
    OpenAtEndpoint &operator=(const OpenAtEndpoint &) = delete;

private:
    EndpointState &m_endpoint;
};

AttemptRequest toAttempt(const RequestContext &context, const EndpointState &endpoint,
                         const Settings &settings)
{
    AttemptRequest request;
    request.address = endpoint.endpoint().address;
    request.method = context.method;
    request.path = context.target;
    request.headers = context.headers;
    request.body = context.body;
    request.contentType = context.contentType;
    request.attemptId = randomId();
    request.connectTimeout = settings.connectTimeout;
    request.readTimeout = settings.firstByteTimeout;
    return request;
}

StoredAnswer toAnswer(const BufferedResponse &response, const EndpointState &endpoint)
{
    StoredAnswer answer;
    answer.status = response.head().status;
    answer.contentType = response.head().contentType;
    answer.headers = response.head().headers;
    answer.endpoint = endpoint.endpoint().name;
    answer.body = response.body();
    return answer;
}

} // namespace

ServiceCaller::ServiceCaller(Node &node)
    : m_node(node)
    , m_dropped(
              node.metrics.counter("almondmill_answers_dropped_total", "reason=\"other_attempt\""))
    , m_retries(node.metrics.counter("almondmill_service_retries_total"))
{}

SendOutcome ServiceCaller::sendOnce(const RequestContext &context, const std::string &service)
{
    Names tried;
    NeverSent last{"No endpoint can take the request now."};
    while (tried.size() < MaxAttempts) {
        const auto endpoint = choose(context, service, tried);
        if (!endpoint)
            return last;
        if (!tried.empty())
            m_retries.add();
        tried.insert(endpoint->endpoint().name);
        SendOutcome outcome = attempt(context, *endpoint);
        const auto *never = std::get_if<NeverSent>(&outcome);
        if (!never)
            return outcome;
        last = *never;
    }
    return last;
}

SendOutcome ServiceCaller::sendRepeatable(const RequestContext &context, const std::string &service)
{
    Names tried;
    SendOutcome last = NeverSent{"No endpoint can take the request now."};
    while (tried.size() < MaxAttempts) {
        const auto endpoint = choose(context, service, tried);
        if (!endpoint)
            return last;
        if (!tried.empty())
            m_retries.add();
        tried.insert(endpoint->endpoint().name);
        SendOutcome outcome = attempt(context, *endpoint);
        if (std::holds_alternative<StoredAnswer>(outcome))
            return outcome;
        // Once an attempt may have been executed, a later attempt that was not sent must not
        // change the outcome to "never sent".
        if (!std::holds_alternative<MayHaveRun>(last))
            last = std::move(outcome);
    }
    return last;
}

EndpointSet::StatePointer ServiceCaller::choose(const RequestContext &context,
                                                const std::string &service, const Names &excluded)
{
    PlacementRequest request;
    request.priority = context.priority;
    request.dataCentre = m_node.settings.dataCentre;
    return m_node.placer->choose(request, context.endpoints->forService(service), excluded,
                                 std::chrono::steady_clock::now());
}

SendOutcome ServiceCaller::attempt(const RequestContext &context, EndpointState &endpoint)
{
    const OpenAtEndpoint open(endpoint);
    const AttemptRequest request = toAttempt(context, endpoint, m_node.settings);
    BufferedResponse response(request.attemptId, m_node.settings.maxBodyBytes);
    const SteadyTime requestDeadline = context.arrived + m_node.settings.requestTimeout;
    const auto running = std::make_shared<Attempt>();
    const auto deadline = m_watch.start(requestDeadline, [weak = std::weak_ptr<Attempt>(running)] {
        if (const auto attempt = weak.lock())
            attempt->cancel();
    });
    const AttemptResult result = running->run(request, response);
    deadline->end();
    if (std::holds_alternative<AttemptCompleted>(result)) {
        if (response.head().status < FirstServerError)
            endpoint.succeeded();
        return toAnswer(response, endpoint);
    }
    if (response.belongsToOtherAttempt()) {
        m_dropped.add();
        return MayHaveRun{"The endpoint gave the answer to another request."};
    }
    endpoint.failed(std::chrono::steady_clock::now());
    if (std::holds_alternative<AttemptNotSent>(result))
        return NeverSent{"The endpoint could not be reached."};
    return MayHaveRun{"The endpoint gave no whole answer."};
}

} // namespace almondmill
