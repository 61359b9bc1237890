#include "grpcpeers.h"

#include "messages.h"

#include "almondmill/metrics/metrics.h"

namespace almondmill {

GrpcPeers::GrpcPeers(Metrics &metrics, FailureHandler onFailure)
    : m_metrics(metrics)
    , m_onFailure(std::move(onFailure))
{}

template<typename Call>
bool GrpcPeers::call(const std::string &peer, std::chrono::milliseconds timeout, Call &&call)
{
    const auto stub = m_channels.stub(peer);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    const grpc::Status status = call(*stub, context);
    if (status.ok())
        return true;
    m_metrics.counter("almondmill_peer_calls_failed_total").add();
    m_channels.drop(peer, stub);
    m_onFailure(peer);
    return false;
}

std::optional<ConfigurationOffer> GrpcPeers::pull(const std::string &peer,
                                                  std::uint64_t haveVersion,
                                                  const std::vector<std::string> &haveParts,
                                                  std::chrono::milliseconds timeout)
{
    fleet::ConfigRequest request;
    request.set_have_version(haveVersion);
    for (const std::string &part : haveParts)
        request.add_have_parts(part);
    fleet::ConfigAnswer answer;
    const bool answered = call(peer, timeout, [&](auto &stub, auto &context) {
        return stub.PullConfig(&context, request, &answer);
    });
    if (!answered)
        return std::nullopt;
    return fromMessage(answer);
}

std::optional<std::uint64_t> GrpcPeers::push(const std::string &peer,
                                             const ConfigurationOffer &offer,
                                             std::chrono::milliseconds timeout)
{
    const fleet::ConfigAnswer request = toMessage(offer);
    fleet::ConfigAccepted answer;
    const bool answered = call(peer, timeout, [&](auto &stub, auto &context) {
        return stub.PushConfig(&context, request, &answer);
    });
    if (!answered)
        return std::nullopt;
    return answer.version();
}

std::optional<PlacementAdvice> GrpcPeers::ask(const std::string &peer, const PlacementQuery &query,
                                              std::chrono::milliseconds timeout)
{
    const fleet::PlaceRequest request = toMessage(query);
    fleet::PlaceAnswer answer;
    const bool answered = call(peer, timeout, [&](auto &stub, auto &context) {
        return stub.Place(&context, request, &answer);
    });
    if (!answered)
        return std::nullopt;
    return fromMessage(answer);
}

bool GrpcPeers::probe(const std::string &target, const fleet::Heartbeat &heartbeat,
                      std::chrono::milliseconds timeout)
{
    fleet::ProbeAnswer answer;
    return call(target, timeout, [&](auto &stub, auto &context) {
        return stub.Probe(&context, heartbeat, &answer);
    });
}

} // namespace almondmill
